Feature: A drain reaches everyone
  An operator drains an instance. Every node must take it over, whatever home
  it uses, and also one that could reach nobody when the drain was accepted.

  Scenario: nodes on every home and one that was cut off
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service crewbook
    And node node-1 knows only alpha
    And node node-2 knows only beta
    And node node-3 knows only gamma
    And node node-3 has the accepted version
    And gamma is cut off
    When amina drains instance crewbook-4 of crewbook
    And 20 seconds pass
    And the network heals
    Then every node has the drain of crewbook-4
    And no node ever went back

  Scenario: the drain outlives the leader that accepted it
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service crewbook
    And node node-1 knows every control VM
    When amina drains instance crewbook-4 of crewbook
    And alpha dies
    And bolat puts service drillvault
    Then every node has the drain of crewbook-4
    And node node-1 serves the accepted version
    And no node ever went back
