Feature: Forwarding to upstreams
  A caller gets the complete answer to its own request or its true outcome, and a
  request that is not idempotent is not retried once it may have run.

  Scenario Outline: A request that is not idempotent is retried only if it was not run
    Given an entry instance with 1 upstream with fault <fault>
    When a caller sends a POST
    Then the caller gets status <status> and outcome <outcome>
    And the upstreams got <arrivals> request
    And without the fault the next POST gets its own answer

    Examples:
      | fault       | status | outcome  | arrivals |
      | none        | 200    | answered | 1        |
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

  Scenario Outline: An idempotent request is retried on another upstream
    Given an entry instance with 2 upstreams, the first with fault <fault>
    When a caller sends a GET
    Then the caller gets status 200 and outcome answered
    And the upstreams got <arrivals> requests

    Examples:
      | fault       | arrivals |
      | refuse      | 2        |
      | unreachable | 1        |
      | close_early | 2        |
      | cut_body    | 2        |
      | cross       | 2        |
      | oversize    | 2        |
      | silent      | 2        |

  Scenario: A refusal of another request doesn't count as a refusal
    Given an entry instance with 1 upstream with fault refuse and cross
    When a caller sends a POST
    Then the caller gets status 502 and outcome unknown

  Scenario: A request is not resent when the retry budget is exhausted
    Given an entry instance with 1 upstream with fault close_early
    And the retry budget is exhausted
    When a caller sends a GET over a reused connection
    Then the caller gets status 502 and outcome unknown
    And the upstreams got 1 request

  Scenario: A POST doesn't use idle connections, which may be unresponsive
    Given an entry instance with 1 upstream with fault none
    When 3 GETs are answered and then all open connections become unresponsive
    Then 3 POSTs are answered

  Scenario: An unresponsive connection stops the reuse of all older ones
    Given an entry instance with 1 upstream with fault none
    When 3 GETs are answered and then all open connections become unresponsive
    Then 6 GETs are answered
    And 1 of them was sent over an unresponsive connection

  Scenario: Peridotspoke headers are not forwarded in either direction
    Given an entry instance with 1 upstream with fault forge
    When a caller sends a POST with Peridotspoke headers
    Then the upstream gets none of them
    And the caller gets only those of its entry instance

  Scenario: Slots and connections stay within their limits
    Given an entry instance with 1 upstream with fault delay
    When 40 callers send GETs and POSTs concurrently
    Then at most 8 requests ran and 11 connections were open concurrently
    And at most 3 connections remain open
