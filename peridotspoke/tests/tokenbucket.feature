Feature: A token bucket limits a rate
  Scenario Outline: Urgent work gets a token from the reserve that other work must leave
    Given a bucket of 10 tokens that gains 1 a second
    When <first> calls that leave <reserve> tokens come at the same moment
    Then <taken> of them get a token
    And an urgent call gets a token at once

    Examples:
      | first | reserve | taken |
      | 20    | 3       | 7     |
      | 20    | 1       | 9     |
      | 4     | 3       | 4     |
