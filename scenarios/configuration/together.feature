Feature: Several failures at once
  A rack is replaced while a switch fails and all nodes restart. No accepted
  change may be lost, and no node may serve a version that is not proved fresh.

  Scenario: all nodes restart while one VM is repaired and another is cut off
    Given control VMs alpha, beta and gamma, led by alpha
    And 30 nodes start with every control VM as a home
    And bolat makes 100 changes
    And every node has the accepted version
    When every node stops
    And bolat makes 200 changes
    And gamma loses its disk and starts again
    And beta is cut off
    And every node starts again
    And amina sends service stock-desk to alpha
    And 30 seconds pass
    Then amina got no answer
    And every node serves nothing

  Scenario: all changes are in force at every node once the network heals
    Given control VMs alpha, beta and gamma, led by alpha
    And 30 nodes start with every control VM as a home
    And bolat makes 100 changes
    And every node has the accepted version
    When every node stops
    And bolat makes 200 changes
    And gamma loses its disk and starts again
    And beta is cut off
    And every node starts again
    And 30 seconds pass
    And the network heals
    And gamma is a voter with the current state
    And alpha loses its disk and starts again
    And amina puts service parts-files
    Then every node serves the accepted version
    And no node went back to an older version
    And alpha holds the same state as the leader
