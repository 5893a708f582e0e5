Feature: Crossed announcements
  An upstream drains and leaves; what its home told another home about it is
  late, in reverse order and doubled. Callers must not be sent to it again.

  Scenario: an instance that left stays gone
    Given homes home-a and home-b
    And caller caller-1 at home-b
    And messages from home-a to home-b are held
    When instance crewbook-1 announces itself at home-a
    And instance crewbook-1 drains and leaves
    And what was held arrives crossed and doubled
    Then caller-1 sees no instance

  Scenario: without an order the oldest announcement resurrects it
    Given announcements have no order
    And homes home-a and home-b
    And caller caller-1 at home-b
    And messages from home-a to home-b are held
    When instance crewbook-1 announces itself at home-a
    And instance crewbook-1 drains and leaves
    And what was held arrives crossed and doubled
    Then caller-1 sees crewbook-1 as serving
