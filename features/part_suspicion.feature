Feature: Parts of prompts are convicted by contrast and cleared by answers

  Scenario: Sound requests share parts with crashing ones, and upstreams crash for other reasons
    When 30 traces of requests with a part that crashes upstreams are replayed
    Then at most 3 requests with the part are sent later than 3 s after the fifth crash
    And the part is convicted wherever it has crashed five upstreams and others were answered meanwhile
    And no sound request is refused

  Scenario Outline: The replay of parts finds a fault in <fault>
    When 12 traces of requests with a part that crashes upstreams are replayed with a fault in <fault>
    Then too many requests with the part are sent, or a sound request is refused

    Examples:
      | fault                            |
      | charging parts                   |
      | sharing records                  |
      | recording answers                |

  Scenario: A part that is answered between crashes is never convicted
    When a part is unanswered at 20 crashes, 1 s apart, and answered in between
    Then requests with the part were admitted all the time

  Scenario: Processes that end together do not convict what ran there
    When a part is unanswered at 16 crashes within 0.4 s while other answers begin
    Then requests with the part are admitted
    When it is unanswered at 2 more crashes, 1 s apart
    Then requests with the part are refused

  Scenario: A part that always stands beside one that crashes is not convicted
    When a crashing part and a part of the same requests are unanswered at 5 crashes
    Then requests with the part are refused
    And requests with the other part alone are admitted

  Scenario: Crashes of upstreams that answer nobody convict no part
    When a part is unanswered at 8 crashes, 1 s apart, and no answer begins
    Then requests with the part are admitted

  Scenario: One answer at another entry is contrast enough
    When a part is unanswered at 2 crashes, 4 s apart, and no answer begins
    And another entry begins one answer to a request that shared a crash with it
    And it is unanswered at 1 more crashes, 4 s apart, without an answer here
    Then requests with the part are refused

  Scenario: An answer that begins clears a convicted part
    Given a convicted part
    When an answer to a request with it begins
    Then requests with the part are admitted
    And another entry that had refused it admits it too

  Scenario: A part that was answered before and crashes a new version is convicted
    Given a part to which 100 answers have begun
    When it is unanswered at 4 crashes, 1 s apart, while other answers begin
    Then requests with the part are admitted
    When it is unanswered at 1 more crashes, 1 s apart
    Then requests with the part are refused

  Scenario: One more crash renews a conviction that has run out
    Given a convicted part
    When 301 s pass
    Then requests with the part are admitted
    When it is unanswered at 1 more crashes, 1 s apart
    Then requests with the part are refused

  Scenario: A part is convicted whoever asks, for its own target alone
    Given a convicted part
    Then requests of another workspace with the part are refused
    And requests for another target with the part are admitted

  Scenario: Many suspects do not keep a conviction out of the datagrams
    Given a convicted part
    When 200 requests with parts of their own are unanswered at crashes
    Then a new entry refuses the part after 1 datagram
    And it knows every suspect after 60 datagrams

  Scenario: Requests that wait in a queue are refused when their part is convicted
    Given an entry at which a sound and a crashing request wait in a queue
    When the part is convicted
    Then the crashing request is refused at once and the sound one waits on

  Scenario Outline: A prompt is named as "<header>"
    When a request comes with this header
    Then its shared parts are "<parts>"

    Examples:
      | header                | parts     |
      | aa01:400,bb:10,cc:1   | aa01 bb   |
      | AA01:400, Bb:10 ,cc:1 | aa01 bb   |
      | aa01:400              |           |
      |                       |           |
      | ,:3,aa01,cc:1         | aa01      |
