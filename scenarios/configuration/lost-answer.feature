Feature: An answer lost with its leader
  The leader is killed after it has replicated an operator's change and before
  it answers. The operator resends the command to the next leader. The change
  must be applied once, and every resend must get the first answer.

  Scenario: each resend gets the first answer
    Given control VMs alpha, beta and gamma, led by alpha
    When amina sends service stock-desk to alpha, which is killed before it answers
    And amina resends the command
    And amina resends the command
    Then both resends get the same answer
    And the history holds 1 changes

  Scenario: the stored answer survives snapshots and restarts
    Given control VMs alpha, beta and gamma, led by alpha
    When amina sends service stock-desk to alpha, which is killed before it answers
    And amina resends the command
    And bolat makes 60 changes
    And alpha starts again
    And alpha is a voter with the current state
    And beta is killed
    And amina resends the command
    Then the history holds 61 changes
    And the last answer is amina's first one

  Scenario: a late resend does not undo another operator's change
    Given control VMs alpha, beta and gamma, led by alpha
    When amina sends service stock-desk to alpha, which is killed before it answers
    And bolat removes service stock-desk
    And amina resends the command
    Then service stock-desk does not exist
    And the history holds 2 changes

  Scenario: without the answer table a late resend undoes the other's change
    Given safeguard answers is off
    And control VMs alpha, beta and gamma, led by alpha
    When amina sends service stock-desk to alpha, which is killed before it answers
    And bolat removes service stock-desk
    And amina resends the command
    Then service stock-desk exists
    And the history holds 3 changes
