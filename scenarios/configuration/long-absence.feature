Feature: Processes that return after hundreds of changes
  A control VM and a node are down while hundreds of changes pass. They must
  end in the same state as everybody else, and never show one in between as new.

  Scenario: a control VM and a node catch up
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service stock-desk
    And node node-1 knows every control VM
    And node node-1 has the accepted version
    And node node-1 stops
    And gamma dies
    When bolat makes 300 changes
    And gamma starts again
    And node node-1 knows only gamma
    Then gamma holds the same state as the leader
    And node node-1 serves the accepted version
    And no node ever went back
