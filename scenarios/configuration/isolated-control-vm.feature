Feature: An isolated control VM
  A partition cuts one control VM off without any sign to it. It must accept
  nothing, serve nothing as current, and disturb nobody when it returns.

  Scenario: an isolated leader accepts nothing and steps down
    Given control VMs alpha, beta and gamma, led by alpha
    When alpha is cut off
    And amina puts service stock-desk
    And bolat sends service crewbook to alpha
    Then bolat got no answer
    And alpha knows that it leads nobody
    And alpha serves nothing as current

  Scenario: its change of that time never shows
    Given control VMs alpha, beta and gamma, led by alpha
    When alpha is cut off
    And bolat sends service crewbook to alpha
    And amina puts service stock-desk
    And the network heals
    And alpha is whole again
    Then service stock-desk exists
    And service crewbook is lost

  Scenario: without check-quorum it goes on taking itself for the leader
    Given safeguard checkQuorum is off
    And control VMs alpha, beta and gamma, led by alpha
    When alpha is cut off
    And 60 seconds pass
    Then alpha still takes itself for the leader

  Scenario: a follower that returns after long isolation disturbs nobody
    Given control VMs alpha, beta and gamma, led by alpha
    When the term is noted
    And gamma is cut off
    And 60 seconds pass
    And the network heals
    And 5 seconds pass
    Then the term is as noted
    And gamma holds the same state as the leader

  Scenario: without pre-vote its return ends a term that worked
    Given safeguard preVote is off
    And control VMs alpha, beta and gamma, led by alpha
    When the term is noted
    And gamma is cut off
    And 60 seconds pass
    And the network heals
    And 5 seconds pass
    Then the term has risen
