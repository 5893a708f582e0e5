Feature: A second VM lost right after a repair
  A control VM loses its disk and returns with an empty one. As soon as it is a
  voter with the current state, a second VM is lost for good. All accepted
  changes must still be there.

  Scenario: accepted changes survive both losses
    Given control VMs alpha, beta and gamma, led by alpha
    When amina puts service stock-desk
    And gamma loses its disk and starts again
    And bolat puts service crewbook
    And gamma is a voter with the current state
    And alpha loses its disk for good
    And amina puts service parts-files
    Then 3 services exist

  Scenario: a voter with an emptied disk elects no leader that lacks an accepted change
    Given control VMs alpha, beta and gamma, led by alpha
    When gamma is cut off
    And amina puts service stock-desk
    And beta loses its disk and starts again
    And the network heals
    And alpha is cut off
    And 30 seconds pass
    Then there is no leader

  Scenario: the accepted change is there once the VM that stores it returns
    Given control VMs alpha, beta and gamma, led by alpha
    When gamma is cut off
    And amina puts service stock-desk
    And beta loses its disk and starts again
    And the network heals
    And alpha is cut off
    And 30 seconds pass
    And the network heals
    Then service stock-desk exists

  Scenario: without storage identity the voter with the emptied disk loses the change
    Given safeguard storageIdentity is off
    And control VMs alpha, beta and gamma, led by alpha
    When gamma is cut off
    And amina puts service stock-desk
    And beta loses its disk while alpha is cut off
    And the network heals except for alpha
    And 30 seconds pass
    Then a leader is elected
    And service stock-desk does not exist
