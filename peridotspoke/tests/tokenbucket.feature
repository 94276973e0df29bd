Feature: A token bucket bounds a rate
  Scenario Outline: Urgent work finds a token that other work must leave
    Given a bucket of 10 tokens that gains 1 a second
    When <first> calls leave <reserve> tokens at the same moment
    Then <taken> of them are taken
    And an urgent call is taken at once

    Examples:
      | first | reserve | taken |
      | 20    | 3       | 7     |
      | 20    | 1       | 9     |
      | 4     | 3       | 4     |
