// Golden bytes of the admin server's responses. Operators' scripts and the platform's health check parse
// them, so they are compared byte by byte.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>

#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

std::string PlainTextHead(const std::string& status_line, std::size_t content_length) {
  return "HTTP/1.1 " + status_line +
         "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(content_length);
}

constexpr const char* kHeadEnd = "\r\nConnection: close\r\n\r\n";

TEST(AdminGoldenBytes, ReadinessAndServingState) {
  RunningServer router({});
  const std::string ready = PlainTextHead("200 OK", 4) + kHeadEnd + "yes\n";
  EXPECT_EQ(router.Call("GET", "/control/ready"), ready);
  EXPECT_EQ(router.Call("GET", "/control/ready?now=1"), ready);
  const std::string out_of_service = PlainTextHead("200 OK", 15) + kHeadEnd + "out of service\n";
  EXPECT_EQ(router.Call("POST", "/control/out-of-service"), out_of_service);
  EXPECT_EQ(router.Call("POST", "/control/out-of-service"), out_of_service);
  EXPECT_EQ(router.Call("GET", "/control/ready"),
            PlainTextHead("503 Service Unavailable", 3) + kHeadEnd + "no\n");
  const std::string in_service = PlainTextHead("200 OK", 11) + kHeadEnd + "in service\n";
  EXPECT_EQ(router.Call("POST", "/control/in-service"), in_service);
  EXPECT_EQ(router.Call("POST", "/control/in-service"), in_service);
  EXPECT_EQ(router.Call("GET", "/control/ready"), ready);
}

TEST(AdminGoldenBytes, Counters) {
  RunningServer router({});
  const std::string body =
      "passed.any=0\ndropped.any=0\nbad_gateway.any=0\nupstream_tries=0\nin_progress=0\n"
      "known_readings_servers=0\nskipped_readings_servers=0\n";
  EXPECT_EQ(router.Call("GET", "/control/counters"), PlainTextHead("200 OK", body.size()) + kHeadEnd + body);
}

TEST(AdminGoldenBytes, RejectedRequests) {
  RunningServer router({});
  const std::string not_found = PlainTextHead("404 Not Found", 13) + kHeadEnd + "no such call\n";
  // Without DNS-SD sources, /control/servers does not exist.
  for (const char* path : {"/control/nothing", "/control/servers", "/control/ready/", "/"}) {
    EXPECT_EQ(router.Call("GET", path), not_found) << path;
    EXPECT_EQ(router.Call("POST", path), not_found) << path;
  }
  const std::string get_only =
      PlainTextHead("405 Method Not Allowed", 19) + "\r\nAllow: GET" + kHeadEnd + "this call is a GET\n";
  EXPECT_EQ(router.Call("POST", "/control/ready"), get_only);
  EXPECT_EQ(router.Call("DELETE", "/control/counters"), get_only);
  const std::string post_only =
      PlainTextHead("405 Method Not Allowed", 20) + "\r\nAllow: POST" + kHeadEnd + "this call is a POST\n";
  EXPECT_EQ(router.Call("GET", "/control/in-service"), post_only);
  EXPECT_EQ(router.Call("HEAD", "/control/out-of-service"), post_only);
  const std::string malformed = PlainTextHead("400 Bad Request", 23) + kHeadEnd + "not a call in HTTP/1.1\n";
  EXPECT_EQ(router.Call("garbage\r\n\r\n"), malformed);
}

TEST(AdminGoldenBytes, IncompleteRequestTimesOut) {
  RunningServer router({});
  EXPECT_EQ(router.Call("GET /control/re"),
            PlainTextHead("408 Request Timeout", 27) + kHeadEnd + "no whole call came in time\n");
}

// While the router shuts down, it is not ready and cannot be returned to service.
TEST(AdminGoldenBytes, ShutdownInProgress) {
  std::mutex response_mutex;
  response_mutex.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard lock(response_mutex);
    return Row("v");
  });
  RunningServer router({server.port()});
  Peer busy_client = router.Session();
  busy_client.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  kill(getpid(), SIGTERM);
  const std::string not_ready = PlainTextHead("503 Service Unavailable", 3) + kHeadEnd + "no\n";
  while (router.Call("GET", "/control/ready") != not_ready) std::this_thread::yield();
  EXPECT_EQ(router.Call("POST", "/control/in-service"),
            PlainTextHead("409 Conflict", 9) + kHeadEnd + "stopping\n");
  EXPECT_EQ(router.Call("POST", "/control/out-of-service"),
            PlainTextHead("200 OK", 15) + kHeadEnd + "out of service\n");
  response_mutex.unlock();
  EXPECT_EQ(busy_client.UntilReady()[0].first, 'T');
}

}  // namespace
}  // namespace tulipyoke::net
