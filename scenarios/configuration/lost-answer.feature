Feature: An answer lost with its leader
  An operator's change is stored when the leader dies; the answer never comes.
  The operator resends it to the next leader. It must count once, and every
  resend must get the first answer.

  Scenario: each resend gets the first answer
    Given control VMs alpha, beta and gamma, led by alpha
    When amina sends service stock-desk to alpha, which dies before it answers
    And amina resends that command
    And amina resends that command
    Then both resends get the same answer
    And the history holds 1 changes

  Scenario: the answer outlives snapshots and restarts
    Given control VMs alpha, beta and gamma, led by alpha
    When amina sends service stock-desk to alpha, which dies before it answers
    And amina resends that command
    And bolat makes 60 changes
    And alpha starts again
    And alpha is whole again
    And beta dies
    And amina resends that command
    Then the history holds 61 changes
    And the last answer is amina's first one

  Scenario: a late resend does not undo another operator's change
    Given control VMs alpha, beta and gamma, led by alpha
    When amina sends service stock-desk to alpha, which dies before it answers
    And bolat removes service stock-desk
    And amina resends that command
    Then service stock-desk is lost
    And the history holds 2 changes

  Scenario: without the answer table the late resend undoes it
    Given safeguard answers is off
    And control VMs alpha, beta and gamma, led by alpha
    When amina sends service stock-desk to alpha, which dies before it answers
    And bolat removes service stock-desk
    And amina resends that command
    Then service stock-desk exists
    And the history holds 3 changes
