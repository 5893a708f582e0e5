Feature: Concurrent changes by two operators
  Two operators read the same version and change it at the same time. One
  change is accepted. The other operator must get a conflict; otherwise this
  operator assumes a state that never existed.

  Scenario: one of two changes to the same version is accepted
    Given control VMs alpha, beta and gamma, led by alpha
    When amina puts service stock-desk while bolat puts service crewbook, both expecting version 0
    Then exactly one of the two is accepted
    And the other answer gives the winner's version
    And 1 services exist

  Scenario: without expected versions neither operator sees a conflict
    Given control VMs alpha, beta and gamma, led by alpha
    When amina puts service stock-desk while bolat puts service crewbook, both without an expected version
    Then both are accepted
    And 2 services exist
