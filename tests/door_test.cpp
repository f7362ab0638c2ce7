// What the operators' door reads and says, and the state that it asks and moves; no sockets.
#include "src/net/door.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "src/net/service.hpp"

namespace tulipyoke::net {
namespace {

using Progress = CallParser::Progress;

// Guards against a call lost or read otherwise because of where its bytes were cut.
TEST(CallParser, RandomCutsGiveTheSameCall) {
  const std::string call = "POST /control/in-service?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    CallParser parser;
    for (std::size_t at = 0; at < call.size();) {
      const std::size_t size = std::min<std::size_t>(call.size() - at, 1 + random() % 20);
      at += size;
      EXPECT_EQ(parser.Feed(call.substr(at - size, size)),
                at == call.size() ? Progress::kWhole : Progress::kMore);
    }
    EXPECT_EQ(parser.method(), "POST");
    EXPECT_EQ(parser.Path(), "/control/in-service");
    EXPECT_EQ(parser.Feed("GET /"), Progress::kWhole);  // one call a connection
  }
}

// Guards against nonsense, or a head without end, that is read for as long as it comes.
TEST(CallParser, WhatIsNoCallIsSaidToBeNone) {
  EXPECT_EQ(CallParser().Feed("no call\r\n\r\n"), Progress::kBad);
  EXPECT_EQ(CallParser().Feed(std::string("\0\0\0\10\4\xd2\x16\x2f", 8)), Progress::kBad);
  CallParser endless;
  Progress progress = endless.Feed("GET / HTTP/1.1\r\n");
  for (int line = 0; line < 2000 && progress == Progress::kMore; ++line) progress = endless.Feed("A: b\r\n");
  EXPECT_EQ(progress, Progress::kBad);
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    CallParser parser;
    std::string bytes(9000, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    EXPECT_EQ(parser.Feed(bytes), Progress::kBad);
  }
}

TEST(Reply, NamesItsLengthAndTheMethodThatIs) {
  EXPECT_EQ(ToHttp({405, "no\n", "GET"}),
            "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n"
            "Allow: GET\r\nConnection: close\r\n\r\nno\n");
}

// Guards against a router that goes on saying yes, cuts off who was sent to it, or never says yes again.
TEST(Service, SaysNoAtOnceServesOnForAWhileAndComesBack) {
  Service service;
  EXPECT_FALSE(service.ready());
  service.Start();
  EXPECT_TRUE(service.ready());
  service.TakeOut(1'000'000);
  service.TakeOut(9'000'000);  // a repeat moves nothing
  EXPECT_FALSE(service.ready());
  EXPECT_TRUE(service.leaving());
  EXPECT_FALSE(service.ReleasesIdle(1'400'000, 0));
  EXPECT_TRUE(service.ReleasesIdle(1'500'000, 1'400'000));
  EXPECT_FALSE(service.Refuses(2'600'000));
  EXPECT_TRUE(service.Refuses(2'700'000));
  EXPECT_TRUE(service.PutBack());
  EXPECT_TRUE(service.PutBack());
  EXPECT_TRUE(service.ready());
  EXPECT_FALSE(service.leaving());
  EXPECT_FALSE(service.Refuses(9'000'000));
}

TEST(Service, AStopIsForGoodAndRefusesNothing) {
  Service service;
  service.Start();
  service.Stop(1'000'000);
  service.TakeOut(2'000'000);
  EXPECT_FALSE(service.PutBack());
  EXPECT_FALSE(service.ready());
  EXPECT_TRUE(service.WindowOver(1'500'000));
  EXPECT_FALSE(service.Refuses(9'000'000));  // taken or not yet, what comes is still answered
}

// Guards against an upgrade in which the front takes the router for gone, or the older process comes back.
TEST(Service, HandedOverItStillWelcomesAndMayTakeBackUnlessStopped) {
  Service service;
  service.Start();
  service.HandOver(1'000'000);
  EXPECT_FALSE(service.ready());
  EXPECT_TRUE(service.welcomes());
  EXPECT_TRUE(service.leaving());
  EXPECT_FALSE(service.ReleasesIdle(2'000'000, 1'000'000));
  EXPECT_TRUE(service.ReleasesIdle(2'600'000, 1'000'000));
  service.TakeBack(3'000'000);
  EXPECT_TRUE(service.ready());
  service.HandOver(4'000'000);
  service.Stop(5'000'000);
  EXPECT_TRUE(service.welcomes());
  service.TakeBack(6'000'000);
  EXPECT_FALSE(service.welcomes());
  EXPECT_FALSE(service.PutBack());
}

// Guards against a router that was taken out before it was ready, and serves all the same.
TEST(Service, TakenOutBeforeItsStartItStaysOut) {
  Service service;
  service.TakeOut(1);
  service.Start();
  EXPECT_FALSE(service.ready());
}

}  // namespace
}  // namespace tulipyoke::net
