Feature: A drain reaches every node
  An operator drains an instance. Every node must apply the drain, whichever
  home it uses, even if the node was cut off when the drain was accepted.

  Scenario: nodes at every home, one of them cut off at that time
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service crewbook
    And node node-1 starts with only alpha as a home
    And node node-2 starts with only beta as a home
    And node node-3 starts with only gamma as a home
    And node node-3 has the accepted version
    And gamma is cut off
    When amina drains instance crewbook-4 of crewbook
    And 20 seconds pass
    And the network heals
    Then every node has the drain of crewbook-4
    And no node went back to an older version

  Scenario: the drain survives the loss of the leader that accepted it
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service crewbook
    And node node-1 starts with every control VM as a home
    When amina drains instance crewbook-4 of crewbook
    And alpha is killed
    And bolat puts service drillvault
    Then every node has the drain of crewbook-4
    And node node-1 serves the accepted version
    And no node went back to an older version
