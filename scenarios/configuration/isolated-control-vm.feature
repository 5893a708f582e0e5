Feature: An isolated control VM
  A partition cuts one control VM off without a connection error. It must accept
  no change and serve no linearizable read, and its return must not cause an
  election.

  Scenario: an isolated leader accepts nothing and steps down
    Given control VMs alpha, beta and gamma, led by alpha
    When alpha is cut off
    And amina puts service stock-desk
    And bolat sends service crewbook to alpha
    Then bolat got no answer
    And alpha has stepped down
    And alpha serves no linearizable read

  Scenario: a change sent to the isolated leader is never applied
    Given control VMs alpha, beta and gamma, led by alpha
    When alpha is cut off
    And bolat sends service crewbook to alpha
    And amina puts service stock-desk
    And the network heals
    And alpha is a voter with the current state
    Then service stock-desk exists
    And service crewbook does not exist

  Scenario: without check-quorum an isolated leader continues to act as leader
    Given safeguard checkQuorum is off
    And control VMs alpha, beta and gamma, led by alpha
    When alpha is cut off
    And 60 seconds pass
    Then alpha still acts as leader

  Scenario: a follower that returns after long isolation causes no election
    Given control VMs alpha, beta and gamma, led by alpha
    When the term is noted
    And gamma is cut off
    And 60 seconds pass
    And the network heals
    And 5 seconds pass
    Then the term is as noted
    And gamma holds the same state as the leader

  Scenario: without pre-vote the follower's return ends the leader's term
    Given safeguard preVote is off
    And control VMs alpha, beta and gamma, led by alpha
    When the term is noted
    And gamma is cut off
    And 60 seconds pass
    And the network heals
    And 5 seconds pass
    Then the term has risen
