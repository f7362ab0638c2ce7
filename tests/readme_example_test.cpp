// The example in README.md, run as it stands there.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "tulipyoke/router.hpp"

namespace {

std::string Read(const std::string& path) {
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

TEST(Readme, ExampleSendsTheRequestToTheOnlyServer) {
  // clang-format off
  // The example begins.
tulipyoke::Settings settings;
settings.classes.emplace_back();
settings.classes[0].latency_objective = 300'000;
tulipyoke::Router router(settings, 1);
std::vector<tulipyoke::Action> actions;
tulipyoke::EndpointEntry server;
server.server = 7;
server.state = tulipyoke::ServerState::kReady;
router.handle(0, tulipyoke::EndpointListUpdate{tulipyoke::EndpointListKind::kCached, 1, {server}}, actions);
tulipyoke::RequestArrived request;
request.id = 42;
request.remaining = 300'000;
router.handle(1'000, request, actions);
  // The example ends.
  // clang-format on
  std::size_t sends = 0;
  for (const tulipyoke::Action& action : actions) {
    const auto* send = std::get_if<tulipyoke::Send>(&action);
    if (!send) continue;
    ++sends;
    EXPECT_EQ(send->id, 42u);
    EXPECT_EQ(send->server, 7u);
  }
  EXPECT_EQ(sends, 1u);
}

// Guards against a README whose example has drifted from what is tested above.
TEST(Readme, ShowsTheExampleThatIsTested) {
  const std::string source = Read(__FILE__);
  const std::string begin = "  // The example begins.\n";
  const std::size_t from = source.find(begin) + begin.size();
  const std::string example = source.substr(from, source.find("  // The example ends.") - from);
  ASSERT_GT(example.size(), 100u);
  const std::string readme = Read(std::string(PROJECT_ROOT) + "/README.md");
  EXPECT_NE(readme.find("```cpp\n" + example + "```"), std::string::npos);
}

}  // namespace
