Feature: A second VM lost right after a repair
  A control VM loses its disk and returns on an empty one. As soon as it is
  whole, a second VM is lost for good. What was accepted must still be there.

  Scenario: accepted changes outlive both losses
    Given control VMs alpha, beta and gamma, led by alpha
    When amina puts service stock-desk
    And gamma loses its disk and starts again
    And bolat puts service crewbook
    And gamma is whole again
    And alpha loses its disk for good
    And amina puts service parts-files
    Then 3 services exist

  Scenario: an emptied voter elects nobody who lacks an accepted change
    Given control VMs alpha, beta and gamma, led by alpha
    When gamma is cut off
    And amina puts service stock-desk
    And beta loses its disk and starts again
    And the network heals
    And alpha is cut off
    And 30 seconds pass
    Then nobody leads

  Scenario: the accepted change is there once its holder returns
    Given control VMs alpha, beta and gamma, led by alpha
    When gamma is cut off
    And amina puts service stock-desk
    And beta loses its disk and starts again
    And the network heals
    And alpha is cut off
    And 30 seconds pass
    And the network heals
    Then service stock-desk exists

  Scenario: without storage identity the emptied voter loses it
    Given safeguard storageIdentity is off
    And control VMs alpha, beta and gamma, led by alpha
    When gamma is cut off
    And amina puts service stock-desk
    And beta loses its disk while alpha is cut off
    And the network heals but for alpha
    And 30 seconds pass
    Then a leader is found
    And service stock-desk is lost
