Feature: A caller who leaves ends the work on its request

  Within 0.5 s of a caller's close the work on its request has ended at every
  upstream, and nothing more of it reaches one.

  Scenario Outline: Leaving before the answer: <path>, the caller <way>
    Given a shared fleet of faulty workers
    When a caller asks "<path>" and its request runs
    And the caller <way>
    Then the work on it ends within 0.5 s and none begins later

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

  Scenario Outline: Leaving midway in a stream: the caller <way>
    Given a shared fleet of faulty workers
    When a caller asks "/chat/flood" and has the first events
    And the caller <way>
    Then the work on it ends within 0.5 s and none begins later

    Examples:
      | way         |
      | closes      |
      | half-closes |
      | resets      |

  Scenario Outline: Leaving while an answer waits to be read: <path>, the caller <way>
    Given a shared fleet of faulty workers
    When a caller asks "<path>" and reads so little that the worker is held back
    And the caller <way>
    Then the work on it ends within 0.5 s and none begins later

    Examples:
      | path        | way         |
      | /chat/flood | closes      |
      | /chat/flood | half-closes |
      | /chat/flood | resets      |
      | /read/flood | closes      |
      | /read/flood | half-closes |

  Scenario Outline: Leaving while a stream goes on at another worker: the caller <way>
    Given a shared fleet of faulty workers
    When a caller asks "/chat/cut-mute" and its request runs at a second worker
    And the caller <way>
    Then the work on it ends within 0.5 s and none begins later

    Examples:
      | way         |
      | closes      |
      | half-closes |

  Scenario: Leaving with a request of which any part is missing
    Given a shared fleet of faulty workers
    When callers send generated parts of requests and close
    Then nothing of these requests has reached a worker

  Scenario: Leaving at any moment
    Given a shared fleet of faulty workers
    When callers ask on generated paths and leave at generated times
    Then the work on each ends within 0.5 s and none begins later

  Scenario: Leaving while waiting for a slot
    Given a fleet of its own with one slot
    When a caller takes the slot and another waits for it
    And the caller closes
    Then nobody waits within 0.5 s
    And the slot goes to the next caller and not to the one who left

  Scenario: Leaving between two attempts
    Given a fleet of its own with two workers of one slot each
    When a caller is refused by a worker and waits for another
    And the caller closes
    Then nobody waits within 0.5 s
    And the slot goes to the next caller and not to the one who left

  Scenario: Leaving while a connection to a worker is opened
    Given a fleet of its own with a worker that accepts no connection
    When a caller asks and a connection to the worker is being opened
    And the caller closes
    Then the opening is given up within 0.5 s
    And the worker gets no connection

  Scenario: Leaving midway in a stream through an agent
    Given a cluster of its own with one engine
    When a caller of the cluster has the first events of a long answer
    And the caller closes
    Then the engine's work on it ends within 0.5 s

  Scenario: Leaving while waiting for a slot behind an agent
    Given a cluster of its own with one engine
    When a caller of the cluster waits for the one slot
    And the caller closes
    Then nobody waits at the cluster's entry within 0.5 s
    And the next request runs and the engine never saw the one who left

  Scenario: Leaving while an entry asks its agents for slots
    Given a request that waits for the grants of its target
    When its caller leaves and a grant comes
    Then it takes no slot and goes nowhere
