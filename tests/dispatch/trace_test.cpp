#include "src/dispatch/trace.hpp"

#include <gtest/gtest.h>

#include "src/dispatch/client_request.hpp"

namespace tulipyoke::trace {
namespace {

TEST(Trace, EachEventHasItsText) {
  EXPECT_EQ(ToText(RequestReceived{"a1", 7, "any", 2, 900, 0, {}}),
            "taken id=a1 request=7 class=any group=2 wait=900");
  EXPECT_EQ(ToText(RequestReceived{"a1", 7, "any", 2, 900, 30, 5}),
            "taken id=a1 request=7 class=any group=2 wait=900 waited=30 behind=5");
  EXPECT_EQ(ToText(RequestFinished{7, Result::kServed, 0}), "served request=7 retry_after=0");
  EXPECT_EQ(ToText(RequestFinished{7, Result::kRejected, 50}), "refused request=7 retry_after=50");
  EXPECT_EQ(ToText(RequestFinished{7, Result::kFailed, 0}), "failed request=7 retry_after=0");
  EXPECT_EQ(ToText(AttemptStarted{7, 1, "p", 400}), "sent request=7 attempt=1 server=p within=400");
  EXPECT_EQ(ToText(AttemptFinished{7, 1, "p", Status::kReset, Role::kReplica, 30}),
            "ended request=7 attempt=1 server=p status=reset role=2 after=30");
  EXPECT_EQ(ToText(ProbeFinished{"-", Status::kOk, 12}), "probed server=- status=ok after=12");
  EXPECT_EQ(ToText(EndpointsUpdated{true, {{"p", ServerState::kReady}, {"q", ServerState::kGone}}}),
            "heard complete=1 p state=1 q state=0");
}

TEST(Trace, TheClientRequestIdComesFromTheLastComment) {
  const RequestPayload named{"SELECT '/* id=no */' /* id=abc, class=any */", 0, 0};
  EXPECT_EQ(ClientRequestId(&named), "abc");
  const RequestPayload unnamed{"SELECT 1", 0, 0};
  EXPECT_EQ(ClientRequestId(&unnamed), "-");
  EXPECT_EQ(ClientRequestId(nullptr), "-");
}

}  // namespace
}  // namespace tulipyoke::trace
