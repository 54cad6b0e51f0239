from tests.outcomes.samples import (
    ANSWERED_REQUEST,
    PlantedViolationTestCase,
    answer,
    arrival,
    make_report,
    observation,
    run,
    run_one,
    send,
)

CASES = {
    "answered_once": ({}, ANSWERED_REQUEST, [*ANSWERED_REQUEST, answer(2, "a")], 4),
    "not_run_is_true": (
        {},
        ANSWERED_REQUEST,
        [*ANSWERED_REQUEST[:3], answer(0.5, "a", "refused", run_state="not-run")],
        2,
    ),
    "at_most_once": (
        {},
        [arrival(0, "a", idempotent=False, key="k"), run(1, "a", 2)],
        [
            arrival(0, "a", idempotent=False, key="k"),
            arrival(0, "b", idempotent=False, key="k"),
            run(1, "a", 2),
            run(3, "b", 4),
        ],
        3,
    ),
    "refusals": (
        {"max_share": 0.0, "reason": "queue_full"},
        [*ANSWERED_REQUEST, answer(2, "b", "refused", reason="other")],
        [
            *ANSWERED_REQUEST,
            arrival(1.5, "b"),
            answer(2, "b", "refused", reason="queue_full"),
        ],
        5,
    ),
    "refused_while": (
        {"reason": "claims_unavailable", "start_s": 1, "end_s": 2},
        [answer(1, "a", "refused", reason="claims_unavailable")],
        [
            answer(1, "a", "refused", reason="claims_unavailable"),
            answer(3, "b", "refused", reason="claims_unavailable"),
        ],
        1,
    ),
    "deadlines": (
        {"min_share": 1.0},
        ANSWERED_REQUEST,
        [arrival(0, "a"), answer(5.5, "a")],
        1,
    ),
    "cancelled_dropped": (
        {},
        [arrival(0, "a"), send(1, "a"), observation(2, "cancel", request_id="a")],
        [arrival(0, "a"), observation(2, "cancel", request_id="a"), send(2.1, "a")],
        2,
    ),
    "leaving_respected": (
        {"limit_s": 3.0},
        [
            observation(0, "leaving", host="w-1"),
            send(3, "a"),
            observation(4, "back", host="w-1"),
        ]
        + [send(9, "a")],
        [
            observation(0, "leaving", host="w-1"),
            observation(1, "leaving", host="w-1"),
            send(3.5, "a"),
        ],
        2,
    ),
    "retry_amplification": (
        {"max_ratio": 1.2},
        ANSWERED_REQUEST,
        [arrival(0, "a"), send(1, "a"), send(2, "a")],
        2,
    ),
    "ejected_share": (
        {"max_share": 1 / 3},
        [observation(0, "eject", service="wire", ejected=2, endpoints=8)],
        [observation(0, "eject", service="wire", ejected=3, endpoints=8)],
        0,
    ),
}


class RequestCheckTests(PlantedViolationTestCase):
    cases = CASES

    def test_deadlines_of_idempotent_requests(self):
        """Guards against a filter that leaves out the requests it should check."""
        for idempotent, passed in ((False, True), (True, False)):
            late = [arrival(2, "b", idempotent=idempotent), answer(9, "b")]
            parameters = {"min_share": 1.0, "idempotent_only": True}
            result = run_one(
                "deadlines", parameters, make_report([*ANSWERED_REQUEST, *late])
            )
            self.assertEqual(result.passed, passed)

    def test_unanswered_request(self):
        result = run_one(
            "answered_once", {}, make_report([*ANSWERED_REQUEST, arrival(2, "b")])
        )
        self.assertIn("no answer", result.violation.message)
