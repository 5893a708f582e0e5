Feature: Operators race
  Two operators saw the same version and change it at the same moment. One
  change wins; the other operator must be told, or one of them believes in a
  state that never was.

  Scenario: one of two changes to the same version wins
    Given control VMs alpha, beta and gamma, led by alpha
    When amina puts service stock-desk while bolat puts service crewbook, both expecting version 0
    Then exactly one of the two is accepted
    And the other is told the winner's version
    And 1 services exist

  Scenario: without expected versions neither operator learns of the other
    Given control VMs alpha, beta and gamma, led by alpha
    When amina puts service stock-desk while bolat puts service crewbook, both expecting nothing
    Then both are accepted
    And 2 services exist
