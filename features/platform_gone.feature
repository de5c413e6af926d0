Feature: A request is cancelled when its caller disconnects

  Within 0.5 s of the disconnect, processing of the request has ended at every
  upstream, and nothing more of it is sent to one.

  Scenario Outline: Disconnect before the answer: <path>, the caller <way>
    Given a shared fleet of faulty workers
    When a caller requests "<path>" and the request runs
    And the caller <way>
    Then its processing ends within 0.5 s and none begins later

    Examples:
      | path         | way         |
      | /read/mute   | closes      |
      | /read/mute   | half-closes |
      | /read/mute   | resets      |
      | /push/mute   | closes      |
      | /push/mute   | half-closes |
      | /push/mute   | resets      |
      | /chat/mute   | closes      |
      | /chat/mute   | half-closes |
      | /chat/mute   | resets      |
      | /chat/headed | closes      |
      | /chat/headed | half-closes |
      | /chat/headed | resets      |

  Scenario Outline: Disconnect during a stream: the caller <way>
    Given a shared fleet of faulty workers
    When a caller requests "/chat/flood" and receives the first events
    And the caller <way>
    Then its processing ends within 0.5 s and none begins later

    Examples:
      | way         |
      | closes      |
      | half-closes |
      | resets      |

  Scenario Outline: Disconnect while an answer is unread: <path>, the caller <way>
    Given a shared fleet of faulty workers
    When a caller requests "<path>" and reads so slowly that the worker is blocked
    And the caller <way>
    Then its processing ends within 0.5 s and none begins later

    Examples:
      | path        | way         |
      | /chat/flood | closes      |
      | /chat/flood | half-closes |
      | /chat/flood | resets      |
      | /read/flood | closes      |
      | /read/flood | half-closes |

  Scenario Outline: Disconnect while a stream resumes at another worker: the caller <way>
    Given a shared fleet of faulty workers
    When a caller requests "/chat/cut-mute" and the request runs at a second worker
    And the caller <way>
    Then its processing ends within 0.5 s and none begins later

    Examples:
      | way         |
      | closes      |
      | half-closes |

  Scenario: Disconnect with an incomplete request
    Given a shared fleet of faulty workers
    When callers send generated prefixes of requests and disconnect
    Then none of these requests has reached a worker

  Scenario: Disconnect at any time
    Given a shared fleet of faulty workers
    When callers request generated paths and disconnect at generated times
    Then the processing of each ends within 0.5 s and none begins later

  Scenario: Disconnect while waiting for a slot
    Given a fleet of its own with one slot
    When a caller occupies the slot and another waits for it
    And the caller closes
    Then no request is queued after 0.5 s
    And the next caller gets the slot, not the disconnected one

  Scenario: Disconnect between two attempts
    Given a fleet of its own with two workers of one slot each
    When a caller is refused by a worker and waits for another worker
    And the caller closes
    Then no request is queued after 0.5 s
    And the next caller gets the slot, not the disconnected one

  Scenario: Disconnect while a connection to a worker is opened
    Given a fleet of its own with a worker that accepts no connections
    When a caller sends a request and a connection to the worker is being opened
    And the caller closes
    Then the connection attempt is cancelled within 0.5 s
    And the worker receives no connection

  Scenario: Disconnect during a stream through an agent
    Given a cluster of its own with one engine
    When a caller of the cluster receives the first events of a long answer
    And the caller closes
    Then the engine stops processing it within 0.5 s

  Scenario: Disconnect while waiting for a slot at an agent
    Given a cluster of its own with one engine
    When a caller of the cluster waits for the one slot
    And the caller closes
    Then no request is queued at the cluster's entry after 0.5 s
    And the next request runs and the engine never receives the cancelled one

  Scenario: Disconnect while an entry requests slots from its agents
    Given a request that waits for the grants of its target
    When its caller disconnects and a grant arrives
    Then it takes no slot and is not sent
