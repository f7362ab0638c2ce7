// Tests the requests of the admin server on a running router.
#include <gtest/gtest.h>

#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// The counters match the responses that were sent. Unknown paths and wrong methods are rejected.
TEST(AdminRequestHandler, ReturnsCountersAndRejectsUnknownRequests) {
  ScriptedServer server([](const std::string& query) {
    return query.find("id=2") == std::string::npos ? Row("v") : std::string(kShape.size(), '\xff');
  });
  RunningServer router({server.port()});
  Peer client = router.Session();
  client.Write(Ask("1") + Ask("2") + Query("INSERT /* id=3,c=any,d=5 */"));
  for (int i = 0; i < 3; ++i) client.UntilReady();
  client.Write(
      Query("INSERT INTO rows (handle, blob) VALUES ('k', '\\x00') RETURNING blob /* id=3,c=any,d=5 */"));
  EXPECT_EQ(CodeOf(client.UntilReady()), "42601");
  const std::string counters = router.Call("GET", "/control/counters");
  EXPECT_TRUE(counters.starts_with("HTTP/1.1 200 OK\r\n")) << counters;
  EXPECT_NE(counters.find("\r\n\r\npassed.any=1\ndropped.any=1\nbad_gateway.any=1\n"), std::string::npos)
      << counters;
  std::size_t sent_attempts = 0;
  for (const std::string& query : server.queries()) sent_attempts += query.starts_with("SELECT blob") ? 1 : 0;
  EXPECT_NE(counters.find("upstream_tries=" + std::to_string(sent_attempts) +
                          "\nin_progress=0\nknown_readings_servers=1\n"),
            std::string::npos)
      << counters;
  EXPECT_TRUE(router.Call("GET", "/control/nothing").starts_with("HTTP/1.1 404 "));
  const std::string wrong_method = router.Call("GET", "/control/in-service");
  EXPECT_TRUE(wrong_method.starts_with("HTTP/1.1 405 "));
  EXPECT_NE(wrong_method.find("Allow: POST\r\n"), std::string::npos);
  EXPECT_TRUE(router.Call("garbage\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

// Connections that send nothing or an incomplete request do not block an operator.
TEST(AdminRequestHandler, SilentConnectionsDoNotBlockOthers) {
  RunningServer router({1});
  std::vector<tcp::socket> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(router.ConnectToAdminServer(i % 2 ? "" : "GET /control/re"));
  EXPECT_TRUE(router.Call("GET", "/control/ready").starts_with("HTTP/1.1 200 "));
}

// A router that is out of service drains without aborting a request, and it can be returned to service.
TEST(AdminRequestHandler, DrainsOutOfServiceAndReturnsToService) {
  std::mutex response_gate;
  response_gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard guard(response_gate);
    return Row("v");
  });
  RunningServer router({server.port()});
  Peer busy_client = router.Session();
  Peer idle_client = router.Session();
  busy_client.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  EXPECT_TRUE(router.Call("POST", "/control/out-of-service").starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(router.Call("GET", "/control/ready").starts_with("HTTP/1.1 503 "));
  Peer health_check = router.Session();
  health_check.Write(Query(""));
  EXPECT_EQ(CodeOf(health_check.UntilReady()), "57P03");
  Peer late_client = router.Session();
  late_client.Write(Ask("2"));
  EXPECT_EQ(idle_client.Next().first, '\0');
  response_gate.unlock();
  for (Peer* client_in_drain : {&busy_client, &late_client}) {
    EXPECT_EQ(client_in_drain->UntilReady()[0].first, 'T');
    EXPECT_EQ(client_in_drain->Next().first, '\0');
  }
  EXPECT_TRUE(router.Call("POST", "/control/in-service").starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(router.Call("GET", "/control/ready").starts_with("HTTP/1.1 200 "));
  Peer client_after_return = router.Session();
  client_after_return.Write(Query("") + Ask("3") + Ask("4"));
  EXPECT_EQ(client_after_return.UntilReady()[0].first, 'I');
  for (int i = 0; i < 2; ++i) EXPECT_EQ(client_after_return.UntilReady()[0].first, 'T');
}

}  // namespace
}  // namespace tulipyoke::net
