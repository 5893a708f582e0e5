Feature: A restarted proxy that meets only a stale home
  A node has no disk, so after a restart it knows no version. The one home that
  it reaches was cut off before the last change. It must serve nothing rather
  than a version older than it served before.

  Scenario: it serves nothing until a quorum answers
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service stock-desk
    And gamma is cut off
    And amina puts service crewbook
    And node node-1 knows every control VM
    And node node-1 has the accepted version
    When node node-1 stops
    And node node-1 knows only gamma
    And 30 seconds pass
    Then node node-1 serves nothing

  Scenario: it serves the accepted version once the home is back
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service stock-desk
    And gamma is cut off
    And amina puts service crewbook
    And node node-1 knows every control VM
    And node node-1 has the accepted version
    When node node-1 stops
    And node node-1 knows only gamma
    And 30 seconds pass
    And the network heals
    Then node node-1 serves the accepted version
    And no node ever went back

  Scenario: without a proof it goes back
    Given safeguard proof is off
    And control VMs alpha, beta and gamma, led by alpha
    And amina puts service stock-desk
    And gamma is cut off
    And amina puts service crewbook
    And node node-1 knows every control VM
    And node node-1 has the accepted version
    When node node-1 stops
    And node node-1 knows only gamma
    And 30 seconds pass
    Then node node-1 serves an older version
    And node node-1 went back
