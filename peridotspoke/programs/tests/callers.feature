Feature: The HTTP interface for callers
  Bad input gets a problem document that names what was expected and found, slow
  callers don't block others, and a planned stop interrupts no request.

  Scenario Outline: Bad input is refused and reaches no upstream
    Given an entry instance
    When a caller sends <request>
    Then it is refused with status <status> and a detail that starts with <start>
    And no upstream received a request

    Examples:
      | request                                         | status | start                    |
      | GET /feldkirch/a%zz                             | 400    | path: expected /         |
      | GET feldkirch/a                                 | 400    | request: expected HTTP   |
      | GET http://h/feldkirch/a                        | 400    | path: expected /         |
      | GET /Feldkirch!/a                               | 404    | service: expected        |
      | GET /other/a                                    | 404    | service: expected one of |
      | GET /feldkirch/{9000}                           | 414    | path: expected at most   |
      | GET /feldkirch/a, Request-Timeout: soon         | 400    | Request-Timeout: expected |
      | GET /feldkirch/a, Request-Timeout: -1           | 400    | Request-Timeout: expected |
      | GET /feldkirch/a, Request-Timeout: nan          | 400    | Request-Timeout: expected |
      | GET /feldkirch/a, Request-Timeout: 0            | 400    | Request-Timeout: expected |
      | POST /feldkirch/a, Idempotency-Key: {200}       | 400    | Idempotency-Key: expected |
      | POST /feldkirch/a, Idempotency-Key:             | 400    | Idempotency-Key: expected |
      | POST /feldkirch/a, Content-Length: 5000         | 413    | body: expected at most   |
      | POST /feldkirch/a, Content-Length: some         | 400    | request: expected HTTP   |
      | POST /feldkirch/a, Content-Length: 5            | 408    | body: expected the whole |
      | GET /feldkirch/a, X-Long: {20000}               | 431    | headers: expected        |
      | GET /feldkirch/a, X-Long: {70000}               | 400    | request: expected HTTP   |

  Scenario: Dot segments don't make a request idempotent
    Given an entry instance whose paths under /quote are idempotent
    When callers POST to /quote/1, /quote/../order and /quoted while upstreams close early
    Then the upstreams received at least 2, exactly 1 and exactly 1 of them

  Scenario: A waiting request is not run after its caller disconnects
    Given an entry instance with 1 slot whose requests run 0.3 s
    When a second caller disconnects while its request waits
    Then the upstreams received 1 request in all

  Scenario: A caller that disconnects while its request runs doesn't free the slot
    Given an entry instance with 1 slot whose requests run 0.3 s
    When a caller disconnects while its request runs and another sends one
    Then at most 1 request ran at once
    And the other request is answered

  Scenario: Announced bodies don't exceed the memory for bodies
    Given an entry instance with memory for 2 bodies
    When 3 callers announce bodies and send nothing
    Then the first response is a refusal with Retry-After
    And a request without a body is answered

  Scenario: A planned stop interrupts no request
    Given an entry instance with 1 slot whose requests run 0.3 s
    When a stop is requested while a request runs
    Then the entry is no longer ready
    And requests within the stop notice are answered
    And later requests are refused as not-run
    And the running request is answered
