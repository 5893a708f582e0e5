Feature: A restarted proxy that reaches only a stale home
  A node has no disk, so it has no version after a restart. The only home that
  it reaches was cut off before the last change. The node must serve nothing
  rather than a version older than the one that it served before the restart.

  Scenario: the node serves nothing until a quorum answers
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service stock-desk
    And gamma is cut off
    And amina puts service crewbook
    And node node-1 starts with every control VM as a home
    And node node-1 has the accepted version
    When node node-1 stops
    And node node-1 starts with only gamma as a home
    And 30 seconds pass
    Then node node-1 serves nothing

  Scenario: the node serves the accepted version once the home is reconnected
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service stock-desk
    And gamma is cut off
    And amina puts service crewbook
    And node node-1 starts with every control VM as a home
    And node node-1 has the accepted version
    When node node-1 stops
    And node node-1 starts with only gamma as a home
    And 30 seconds pass
    And the network heals
    Then node node-1 serves the accepted version
    And no node went back to an older version

  Scenario: without a proof the node goes back to an older version
    Given safeguard proof is off
    And control VMs alpha, beta and gamma, led by alpha
    And amina puts service stock-desk
    And gamma is cut off
    And amina puts service crewbook
    And node node-1 starts with every control VM as a home
    And node node-1 has the accepted version
    When node node-1 stops
    And node node-1 starts with only gamma as a home
    And 30 seconds pass
    Then node node-1 serves an older version
    And node node-1 went back to an older version
