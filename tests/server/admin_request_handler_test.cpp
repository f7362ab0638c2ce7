// The calls of the admin server on a running router.
#include <gtest/gtest.h>

#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// The counters match the answers that were sent; unknown paths and wrong methods are rejected.
TEST(AdminRequestHandler, ReturnsCountersAndRejectsUnknownCalls) {
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
  const std::string figures = router.Call("GET", "/control/counters");
  EXPECT_TRUE(figures.starts_with("HTTP/1.1 200 OK\r\n")) << figures;
  EXPECT_NE(figures.find("\r\n\r\npassed.any=1\ndropped.any=1\nbad_gateway.any=1\n"), std::string::npos)
      << figures;
  std::size_t sent = 0;
  for (const std::string& query : server.queries()) sent += query.starts_with("SELECT blob") ? 1 : 0;
  EXPECT_NE(
      figures.find("upstream_tries=" + std::to_string(sent) + "\nin_progress=0\nknown_readings_servers=1\n"),
      std::string::npos)
      << figures;
  EXPECT_TRUE(router.Call("GET", "/control/nothing").starts_with("HTTP/1.1 404 "));
  const std::string wrong = router.Call("GET", "/control/in-service");
  EXPECT_TRUE(wrong.starts_with("HTTP/1.1 405 "));
  EXPECT_NE(wrong.find("Allow: POST\r\n"), std::string::npos);
  EXPECT_TRUE(router.Call("garbage\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

// Connections that send nothing do not keep an operator out.
TEST(AdminRequestHandler, SilentConnectionsDoNotBlockOthers) {
  RunningServer router({1});
  std::vector<tcp::socket> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(router.ConnectToAdminServer(i % 2 ? "" : "GET /control/re"));
  EXPECT_TRUE(router.Call("GET", "/control/ready").starts_with("HTTP/1.1 200 "));
}

// Out of service, the router drains without cutting off a request, and it can be returned to service.
TEST(AdminRequestHandler, DrainsOutOfServiceAndReturnsToService) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("v");
  });
  RunningServer router({server.port()});
  Peer busy = router.Session();
  Peer idle = router.Session();
  busy.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  EXPECT_TRUE(router.Call("POST", "/control/out-of-service").starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(router.Call("GET", "/control/ready").starts_with("HTTP/1.1 503 "));
  Peer front = router.Session();
  front.Write(Query(""));
  EXPECT_EQ(CodeOf(front.UntilReady()), "57P03");
  Peer late = router.Session();
  late.Write(Ask("2"));
  EXPECT_EQ(idle.Next().first, '\0');
  gate.unlock();
  for (Peer* taken : {&busy, &late}) {
    EXPECT_EQ(taken->UntilReady()[0].first, 'T');
    EXPECT_EQ(taken->Next().first, '\0');
  }
  EXPECT_TRUE(router.Call("POST", "/control/in-service").starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(router.Call("GET", "/control/ready").starts_with("HTTP/1.1 200 "));
  Peer again = router.Session();
  again.Write(Query("") + Ask("3") + Ask("4"));
  EXPECT_EQ(again.UntilReady()[0].first, 'I');
  for (int i = 0; i < 2; ++i) EXPECT_EQ(again.UntilReady()[0].first, 'T');
}

}  // namespace
}  // namespace tulipyoke::net
