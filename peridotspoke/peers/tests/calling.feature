Feature: Calls between the system's processes
  Each call returns the peer's answer or raises a PeerError that names the step and
  the peer. An invalid message changes nothing at its receiver.

  Scenario: An entry reports its requests in flight
    Given a peer with 2 requests in flight to "i1", known to leave since epoch 5
    When it is asked about "i1" leaving since epoch 5
    Then it reports 2 in flight and that it has seen the leaving

  Scenario: A remembered answer is returned complete
    Given a peer that remembers status 201 and body "tile" for key "k1"
    When it is asked for the answer of key "k1"
    Then the answer has status 201 and body "tile"

  Scenario Outline: A call to a faulty peer fails with the reason
    Given a peer whose fault is "<fault>"
    When views are exchanged with it
    Then the error names the step, the peer and "<reason>"

    Examples:
      | fault            | reason                                 |
      | down             | UNAVAILABLE                            |
      | slow             | DEADLINE_EXCEEDED                      |
      | silent           | DEADLINE_EXCEEDED                      |
      | malformed bytes  | answer is not a valid message          |
      | wrong protocol   | protocol: expected 1, found 2          |
      | refuses          | INVALID_ARGUMENT                       |
      | without a method | does not answer exchange               |

  Scenario Outline: A malformed message is refused and changes nothing
    Given a working peer
    When it is sent a view with <field> set to <value>
    Then it refuses with "<reason>" and has applied nothing

    Examples:
      | field                 | value          | reason                     |
      | protocol              | 7              | protocol: expected 1       |
      | sender                | ""             | name: expected a name      |
      | address               | "lima-a:1"     | address: expected IP       |
      | role                  | "oracle"       | role: expected entry       |
      | zone                  | ""             | zone: expected a zone      |
      | configuration_version | -3             | expected 0 or more         |
      | load                  | 1e999          | load: expected 0 or more   |
      | configuration_head    | b"{"           | configuration_head:        |
