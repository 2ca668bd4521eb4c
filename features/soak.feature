Feature: Hosts keep their promises while everything around them fails

  Scenario: a short run of real processes with faults from a seed
    When the soak plays seed 7 with 3 hosts and 6 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes whose runners name limits
    When the soak plays seed 3 with 3 hosts, limits and 10 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes whose runners have two software versions
    When the soak plays seed 5 with 3 hosts, versions and 10 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of more hosts whose connections to each other fall silent
    When the soak plays seed 11 with 14 hosts, silence between them and 8 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes whose runners leave and ask for pauses
    When the soak plays seed 9 with 3 hosts, notices and 10 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes with a part of a prompt that crashes runners
    When the soak plays seed 4 with 4 hosts, a deadly part and 12 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes with a request that crashes runners
    When the soak plays seed 6 with 4 hosts, a deadly request and 12 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes of which some lose all runners
    When the soak plays seed 8 with 4 hosts, lost runners and 12 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes with brittle runners
    When the soak plays seed 10 with 4 hosts, brittle runners and 12 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes while a failure domain is evacuated
    Guards against requests that reach it after all, over real connections.
    When the soak plays seed 12 with 4 hosts, an evacuation and 14 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes with silent and strange runners and odd entries
    Guards against sound answers given up for silence, hosts that an odd entry
    ends or blinds, and refusals and errors that get into other answers.
    When the soak plays seed 13 with 4 hosts, silent and strange runners and 12 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes that leave while long requests follow each other
    Guards against hosts that take in what they then cut.
    When the soak plays seed 14 with 4 hosts, requests late in the grace and 14 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes among slow readers and streams that outlast hosts
    Guards against readers taken for dead, and streams cut since those before
    them were short.
    When the soak plays seed 15 with 4 hosts, slow readers, streams that outlast hosts and 14 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes whose stage runners number results anew
    Guards against results of an ended start that are taken for those of the
    next one, mostly while the store is away.
    When the soak plays seed 7001 with 4 hosts, results numbered anew and 14 s of faults
    Then it ends well and says that all promises were kept

  Scenario: a short run of real processes while heartbeats of before are carried out late
    Guards against streams joined out of two software versions, requests to
    runners that leave and runners at work that are taken for ended.
    When the soak plays seed 8004 with 4 hosts, late heartbeats, two software versions and 14 s of faults
    Then it ends well and says that all promises were kept

  Scenario: records of a sound run break no promise
    Given the records of a sound run
    Then no promise is broken

  Scenario Outline: the check of "<promise>" catches <defect>
    Given the records of a sound run
    When <defect> is in the records
    Then only the promise "<promise>" is broken

    Examples:
      | promise      | defect                                  |
      | own-answer   | another request's answer                |
      | own-inputs   | an input that is a result of another request |
      | evacuated    | a call to a runner of an evacuated domain |
      | event-order  | an event that is left out               |
      | event-order  | an event that came twice                |
      | runs         | an unsafe request that ran twice        |
      | runs         | a repeatable request that ran three times |
      | refusal      | a refused request that ran              |
      | answered     | a request that got no answer            |
      | keys         | a key that is still valid when taken    |
      | keys         | a key that is not known when given      |
      | changes      | a host that learns of a key long after another |
      | known-routes | a denied standing key                   |
      | service      | a request at another route's service    |
      | budget       | a hundred second sends                  |
      | limit        | a limited runner that gets too much     |
      | versions     | three streams of two software versions  |
      | drain        | a leaving runner that gets more         |
      | pause        | a paused runner that gets three requests |
      | deadly       | a part that goes on crashing runners    |
      | same-request | a request that goes on crashing runners |
      | brittle      | brittle runners that fall over again and again |
      | stranded     | a host without runners that serves nobody |
      | own-answer   | a stream that ends early as if it were whole |
      | own-answer   | an earlier refusal behind a whole answer |
      | event-order  | the head of an error in a stream that broke off |
      | alive        | a host that ends by itself              |
      | silence      | a cut answer of a runner that was silent |
      | silence      | a 502 for a request at a runner that was silent |
      | silence      | a request that one silence kept until its deadline |
      | leaving      | a host that does not leave              |
      | leaving      | a host that crashes as it leaves        |
      | leaving      | a request that a leaving host cut       |
      | late         | a request that came late in the grace and was cut |
      | late         | a stream that outlasted its host and was cut |
      | slow         | a large answer that was cut while its caller read it |
      | slow         | a large request that its runner read slowly and got 502 |
      | recovery     | a host that serves nobody any more      |

  Scenario: hosts without runners need help only from hosts that they reach
    Given the records of a sound run
    When a host without runners that serves nobody is in the records
    Then only the promise "stranded" is broken
    When the host that reaches runners was cut off from the others
    Then no promise is broken

  Scenario: a silent runner that also fails may cut its answer
    Given the records of a sound run
    When a cut answer of a runner that was silent is in the records
    Then only the promise "silence" is broken
    When another fault concerned its runner
    Then no promise is broken

  Scenario: a host that starts may answer a key that was taken with 503
    Given the records of a sound run
    When a refusal of a key that was taken is in the records
    Then only the promise "keys" is broken
    When its host was started just before
    Then no promise is broken

  Scenario: a host that started lately may send to a runner that had reported its leaving
    Given the records of a sound run
    When a request at a runner that had reported its leaving is in the records
    Then only the promise "reported" is broken
    When that host was started behind the report
    Then no promise is broken

  Scenario: a host that a fault concerned may leave a request unanswered
    Given the records of a sound run
    When a request that got no answer is in the records
    And a fault concerned its host
    Then no promise is broken

  Scenario: a stream that its runner broke off may end while its host leaves
    Given the records of a sound run
    When a request that a leaving host cut is in the records
    Then only the promise "leaving" is broken
    When its runner had broken it off
    Then no promise is broken
