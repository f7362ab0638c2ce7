// The exact bytes of the admin server's answers. Scripts of operators and the platform's health check read
// them, so the expected strings are compared byte by byte.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>

#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

std::string PlainText(const std::string& status_line, std::size_t length) {
  return "HTTP/1.1 " + status_line +
         "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(length);
}

constexpr const char* kEndOfHead = "\r\nConnection: close\r\n\r\n";

TEST(AdminGoldenBytes, OfReadinessAndOfTakingTheRouterOutOfService) {
  RunningServer router({});
  const std::string yes = PlainText("200 OK", 4) + kEndOfHead + "yes\n";
  EXPECT_EQ(router.Call("GET", "/control/ready"), yes);
  EXPECT_EQ(router.Call("GET", "/control/ready?now=1"), yes);
  const std::string out = PlainText("200 OK", 15) + kEndOfHead + "out of service\n";
  EXPECT_EQ(router.Call("POST", "/control/out-of-service"), out);
  EXPECT_EQ(router.Call("POST", "/control/out-of-service"), out);
  EXPECT_EQ(router.Call("GET", "/control/ready"),
            PlainText("503 Service Unavailable", 3) + kEndOfHead + "no\n");
  const std::string in = PlainText("200 OK", 11) + kEndOfHead + "in service\n";
  EXPECT_EQ(router.Call("POST", "/control/in-service"), in);
  EXPECT_EQ(router.Call("POST", "/control/in-service"), in);
  EXPECT_EQ(router.Call("GET", "/control/ready"), yes);
}

TEST(AdminGoldenBytes, OfTheCounters) {
  RunningServer router({});
  const std::string body =
      "passed.any=0\ndropped.any=0\nbad_gateway.any=0\nupstream_tries=0\nin_progress=0\n"
      "known_readings_servers=0\nskipped_readings_servers=0\n";
  EXPECT_EQ(router.Call("GET", "/control/counters"), PlainText("200 OK", body.size()) + kEndOfHead + body);
}

TEST(AdminGoldenBytes, OfRejectedCalls) {
  RunningServer router({});
  const std::string unknown = PlainText("404 Not Found", 13) + kEndOfHead + "no such call\n";
  // Without DNS-SD sources, there is no view of the servers.
  for (const char* path : {"/control/nothing", "/control/servers", "/control/ready/", "/"}) {
    EXPECT_EQ(router.Call("GET", path), unknown) << path;
    EXPECT_EQ(router.Call("POST", path), unknown) << path;
  }
  const std::string get_only =
      PlainText("405 Method Not Allowed", 19) + "\r\nAllow: GET" + kEndOfHead + "this call is a GET\n";
  EXPECT_EQ(router.Call("POST", "/control/ready"), get_only);
  EXPECT_EQ(router.Call("DELETE", "/control/counters"), get_only);
  const std::string post_only =
      PlainText("405 Method Not Allowed", 20) + "\r\nAllow: POST" + kEndOfHead + "this call is a POST\n";
  EXPECT_EQ(router.Call("GET", "/control/in-service"), post_only);
  EXPECT_EQ(router.Call("HEAD", "/control/out-of-service"), post_only);
  const std::string malformed = PlainText("400 Bad Request", 23) + kEndOfHead + "not a call in HTTP/1.1\n";
  EXPECT_EQ(router.Call("garbage\r\n\r\n"), malformed);
}

TEST(AdminGoldenBytes, OfACallThatIsNotCompleteInTime) {
  RunningServer router({});
  EXPECT_EQ(router.Call("GET /control/re"),
            PlainText("408 Request Timeout", 27) + kEndOfHead + "no whole call came in time\n");
}

// While the router stops, it is not ready and cannot be put back into service.
TEST(AdminGoldenBytes, OfARouterThatIsShuttingDown) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("v");
  });
  RunningServer router({server.port()});
  Peer busy = router.Session();
  busy.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  kill(getpid(), SIGTERM);
  const std::string no = PlainText("503 Service Unavailable", 3) + kEndOfHead + "no\n";
  while (router.Call("GET", "/control/ready") != no) std::this_thread::yield();
  EXPECT_EQ(router.Call("POST", "/control/in-service"),
            PlainText("409 Conflict", 9) + kEndOfHead + "stopping\n");
  EXPECT_EQ(router.Call("POST", "/control/out-of-service"),
            PlainText("200 OK", 15) + kEndOfHead + "out of service\n");
  gate.unlock();
  EXPECT_EQ(busy.UntilReady()[0].first, 'T');
}

}  // namespace
}  // namespace tulipyoke::net
