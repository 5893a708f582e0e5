Feature: Announcements out of order
  An upstream drains and leaves. The messages about it between two homes arrive
  late, in reverse order and twice. No caller may be routed to it again.

  Scenario: an instance that left stays removed
    Given homes home-a and home-b
    And caller caller-1 at home-b
    And messages from home-a to home-b are held
    When instance crewbook-1 announces itself at home-a
    And instance crewbook-1 drains and leaves
    And the held messages arrive twice and in reverse order
    Then caller-1 sees no instance

  Scenario: without the order check the oldest announcement restores the instance
    Given the order of announcements is not checked
    And homes home-a and home-b
    And caller caller-1 at home-b
    And messages from home-a to home-b are held
    When instance crewbook-1 announces itself at home-a
    And instance crewbook-1 drains and leaves
    And the held messages arrive twice and in reverse order
    Then caller-1 sees crewbook-1 as serving
