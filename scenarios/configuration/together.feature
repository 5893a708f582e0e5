Feature: Several failures at once
  A rack is replaced while a switch fails and every node comes back. Nothing
  accepted may be lost, and no node may serve what it can't prove.

  Scenario: a herd returns while one VM is repaired and another cut off
    Given control VMs alpha, beta and gamma, led by alpha
    And 30 nodes know every control VM
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

  Scenario: all is in force everywhere once the cut ends
    Given control VMs alpha, beta and gamma, led by alpha
    And 30 nodes know every control VM
    And bolat makes 100 changes
    And every node has the accepted version
    When every node stops
    And bolat makes 200 changes
    And gamma loses its disk and starts again
    And beta is cut off
    And every node starts again
    And 30 seconds pass
    And the network heals
    And gamma is whole again
    And alpha loses its disk and starts again
    And amina puts service parts-files
    Then every node serves the accepted version
    And no node ever went back
    And alpha holds the same state as the leader
