Feature: Processes that return after hundreds of changes
  A control VM and a node are down while hundreds of changes are accepted. They
  must reach the same state as all others, and the node must not put versions
  into force out of order.

  Scenario: a control VM and a node catch up
    Given control VMs alpha, beta and gamma, led by alpha
    And amina puts service stock-desk
    And node node-1 starts with every control VM as a home
    And node node-1 has the accepted version
    And node node-1 stops
    And gamma is killed
    When bolat makes 300 changes
    And gamma starts again
    And node node-1 starts with only gamma as a home
    Then gamma holds the same state as the leader
    And node node-1 serves the accepted version
    And no node went back to an older version
