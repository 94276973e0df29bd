Feature: The interface towards upstreams
  A caller gets the whole answer to its own request or the truth about it, and a
  request that is not idempotent is sent at most once.

  Scenario Outline: A request that is not idempotent goes again only if it was refused
    Given an entry instance with 1 upstream that shows <fault>
    When a caller sends a POST
    Then the caller is told <status> and <outcome>
    And the upstreams saw <arrivals> request
    And with the fault gone the next POST is answered with its own answer

    Examples:
      | fault       | status | outcome  | arrivals |
      | nothing     | 200    | answered | 1        |
      | fail        | 500    | answered | 1        |
      | refuse      | 503    | not-run  | 4        |
      | unreachable | 503    | not-run  | 0        |
      | close_early | 502    | unknown  | 1        |
      | cut_body    | 502    | unknown  | 1        |
      | unframed    | 502    | unknown  | 1        |
      | cross       | 502    | unknown  | 1        |
      | oversize    | 502    | unknown  | 1        |
      | silent      | 504    | unknown  | 1        |
      | double      | 200    | answered | 1        |
      | forge       | 200    | answered | 1        |

  Scenario Outline: An idempotent request goes again on another upstream
    Given an entry instance with 2 upstreams of which the first shows <fault>
    When a caller sends a GET
    Then the caller is told 200 and answered
    And the upstreams saw <arrivals> requests

    Examples:
      | fault       | arrivals |
      | refuse      | 2        |
      | unreachable | 1        |
      | close_early | 2        |
      | cut_body    | 2        |
      | cross       | 2        |
      | oversize    | 2        |
      | silent      | 2        |

  Scenario: A refusal of another request is not taken as a refusal
    Given an entry instance with 1 upstream that shows refuse and cross
    When a caller sends a POST
    Then the caller is told 502 and unknown

  Scenario: Nothing sends a request again without the retry budget
    Given an entry instance with 1 upstream that shows close_early
    And no retry is left in the budget
    When a caller sends a GET over a connection that was used before
    Then the caller is told 502 and unknown
    And the upstreams saw 1 request

  Scenario: No POST is lost in connections that went silent
    Given an entry instance with 1 upstream that shows nothing
    When 3 GETs are answered and then all open connections go silent
    Then 3 POSTs are answered

  Scenario: One silence makes every older connection suspect
    Given an entry instance with 1 upstream that shows nothing
    When 3 GETs are answered and then all open connections go silent
    Then 6 GETs are answered
    And 1 of them met the silence

  Scenario: Headers of this system pass in neither direction
    Given an entry instance with 1 upstream that shows forge
    When a caller sends a POST with headers of this system
    Then the upstream saw none of them
    And the caller sees only those of its entry instance

  Scenario: Slots and idle connections stay within their bounds
    Given an entry instance with 1 upstream that shows delay
    When 40 callers send GETs and POSTs at once
    Then at most 8 ran at once and 11 connections were open at once
    And at most 3 connections stay open
