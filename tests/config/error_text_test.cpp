// Tests the exact error text that operators see for each fault of a configuration.
#include <gtest/gtest.h>

#include <cstdlib>
#include <exception>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "src/config/config.hpp"
#include "src/config/listing_json.hpp"
#include "src/config/membership_config.hpp"
#include "src/config/settings.hpp"

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

std::string ThrownText(const std::function<void()>& action) {
  try {
    action();
    return "no error";
  } catch (const std::exception& error) {
    return error.what();
  }
}

struct Case {
  std::string input;
  std::string error_text;
};

// Returns a document with the given members, which is valid apart from them.
std::string MakeDocument(const std::string& members) {
  return R"({"settings":{"services":[{"name":"a"}]},)" + members + "}";
}

TEST(ConfigErrorText, DescribesFaultsOfTheDocument) {
  const std::string invalid_value = "the configuration has a missing or invalid value: ";
  const std::vector<Case> cases = {
      {"", "the configuration is not valid JSON"},
      {"{", "the configuration is not valid JSON"},
      {"{}", invalid_value + "[json.exception.out_of_range.403] key 'settings' not found"},
      {R"({"settings":{}})", "settings must define at least one request class"},
      {R"({"settings":{"services":7}})", "settings must define at least one request class"},
      {R"({"seed":"xyz","settings":{}})", "seed is not a 64-bit hexadecimal number: xyz"},
      {R"({"seed":"","settings":{}})", "seed is not a 64-bit hexadecimal number: "},
      {R"({"seed":"12 ","settings":{}})", "seed is not a 64-bit hexadecimal number: 12 "},
      {R"({"seed":"12","limits":{"sockets":3},"settings":{}})", "limits.sockets must be at least 32"},
      {MakeDocument(R"("known":{"revision":1})"),
       "invalid server list: [json.exception.out_of_range.403] key 'complete' not found"},
      {MakeDocument(R"("log":7)"), "log: must be an object"},
      {MakeDocument(R"("log":{"form":7})"), "log.form: must be a string"},
      {MakeDocument(R"("log":{"form":"xml"})"), "log.form: is 'xml', but must be one of text, json"},
      {MakeDocument(R"("log":{"level":1})"), "log.level: is not a known setting"},
      {MakeDocument(R"("membership":[])"), "membership: must be an object"},
  };
  for (const Case& test_case : cases) {
    EXPECT_EQ(ThrownText([&] { ParseConfig(test_case.input); }), test_case.error_text) << test_case.input;
  }
}

TEST(ConfigErrorText, DescribesFaultsOfASetting) {
  const std::vector<Case> cases = {
      {R"({"services":[{"name":"a","aim":"soon"}]})", "setting services.0.aim is not a valid number: soon"},
      {R"({"services":[{"name":"a","aim":1e30}]})", "setting services.0.aim is not a valid number: 1e+30"},
      {R"({"services":[{"name":"a","semantics":"best"}]})",
       "setting services.0.semantics has an unknown value: best"},
      {R"({"services":[{"name":"a","stream":"maybe"}]})",
       "setting services.0.stream has an unknown value: maybe"},
      {R"({"services":[{"name":"a"}],"domain":{"freshness":["old"]}})",
       "setting domain.freshness has an unknown value: old"},
      {R"({"services":[{"name":"a"}],"domain":{"lag_allowed":["x"]}})",
       "setting domain.lag_allowed is not a valid number: x"},
      {R"({"services":{"count":5000}})", "setting services.count is not a valid number: 5000"},
      {R"({"services":[{"name":"a"}],"n_instances":-1})", "setting n_instances is not a valid number: -1"},
  };
  for (const Case& test_case : cases) {
    const std::string document = R"({"settings":)" + test_case.input + "}";
    EXPECT_EQ(ThrownText([&] { ParseConfig(document); }), test_case.error_text) << test_case.input;
  }
}

// If several settings are invalid, the error names the first one in the order of reading.
TEST(ConfigErrorText, NamesTheFirstInvalidSetting) {
  SettingsTable table = {{"services.count", "1"}, {"services.0.name", "a"}};
  for (const char* path : {"zone",
                           "me",
                           "n_instances",
                           "quantum",
                           "prices.waste",
                           "prices.cross_zone",
                           "prices.probe",
                           "over_share_worth",
                           "rules.dropped_stay_open",
                           "rules.drain_grace",
                           "rules.fall",
                           "rules.tip_multiple",
                           "rules.warm_after",
                           "rules.cold_from",
                           "rules.ask_within",
                           "rules.answer_slack",
                           "policy_limits.most_tries",
                           "policy_limits.max_retry_after",
                           "policy_limits.retry_after",
                           "policy_limits.second_copies",
                           "policy_limits.probes",
                           "policy_limits.cancel",
                           "stats.via",
                           "discovery",
                           "domain.origin_time",
                           "domain.role_listed",
                           "domain.token_mode",
                           "domain.catch_up_wait",
                           "domain.guards"}) {
    table[path] = "wrong";
    const std::string text = ThrownText([&] { SettingsFromTable(table); });
    EXPECT_EQ(text.find("setting " + std::string(path) + " "), 0u) << path << ": " << text;
  }
}

Json MakeMembership(const Json& source) { return {{"sources", {source}}}; }
Json MakeDnsSource(const Json& overrides) {
  Json source{{"type", "dns-sd"}, {"zone", "derby.example.org"}, {"resolvers", {"127.0.0.1:53"}}};
  source.update(overrides);
  return MakeMembership(source);
}
Json MakeRegistry(const Json& overrides) {
  Json json = MakeMembership({{"type", "registry"}});
  json.update(overrides);
  return json;
}

TEST(ConfigErrorText, DescribesFaultsOfASource) {
  const struct {
    Json json;
    std::string error_text;
  } cases[] = {
      {Json::object(), "membership.sources: must contain 1 to 32 sources"},
      {{{"sources", 7}}, "membership.sources: must be an array"},
      {{{"sources", {7}}}, "membership.sources[0]: must be an object"},
      {MakeMembership(Json::object()), "membership.sources[0].type: is missing"},
      {MakeMembership({{"type", "file"}}),
       "membership.sources[0].type: is 'file', but must be one of registry, static, dns-sd"},
      {MakeMembership({{"type", "dns-sd"}}), "membership.sources[0].zone: is missing"},
      {MakeMembership({{"type", "static"}}), "membership.sources[0].members: must be an array of servers"},
      {MakeMembership({{"type", "static"}, {"members", {{{"id", 5}}}}}),
       "membership.sources[0].members: contains an invalid server entry"},
      {MakeDnsSource({{"service", "a..b"}}),
       "membership.sources[0].service: is not a DNS-SD service type such as _readings._tcp"},
      {MakeDnsSource({{"service", 5}}), "membership.sources[0].service: must be a string"},
      {MakeDnsSource({{"zone", "a..b"}}), "membership.sources[0].zone: is not a valid DNS name"},
      {MakeDnsSource({{"mode", "push"}}),
       "membership.sources[0].mode: is 'push', but must be one of poll, serial, transfer"},
      {MakeDnsSource({{"refresh_fraction", 2}}),
       "membership.sources[0].refresh_fraction: must be a number from 0.1 to 1.0"},
      {MakeDnsSource({{"look_ms", "x"}}),
       "membership.sources[0].look_ms: must be a number from 20.0 to 3600000.0"},
      {MakeDnsSource({{"most_asks", 0}}),
       "membership.sources[0].most_asks: must be a whole number from 1 to 256"},
      {MakeDnsSource({{"tries", 1.5}}), "membership.sources[0].tries: must be a whole number from 1 to 10"},
      {MakeDnsSource({{"allow", "10.0.0.0/8"}}), "membership.sources[0].allow: must be an array"},
      {MakeDnsSource({{"allow", {5}}}), "membership.sources[0].allow[0]: must be a string"},
      {MakeDnsSource({{"allow", {"10.0.0.0/8", "x"}}}),
       "membership.sources[0].allow[1]: not an address block such as 10.0.0.0/8: 'x'"},
      {MakeDnsSource({{"resolvers", Json::array()}}),
       "membership.sources[0].resolvers: must contain 1 to 8 addresses with ports"},
      {MakeDnsSource({{"resolvers", {"here"}}}),
       "membership.sources[0].resolvers[0]: not a valid address with port: 'here'"},
      {MakeDnsSource({{"interval", 5}}), "membership.sources[0].interval: is not a known setting"},
  };
  for (const auto& test_case : cases) {
    EXPECT_EQ(ThrownText([&] { ParseMembershipConfig(test_case.json, "membership", Settings()); }),
              test_case.error_text)
        << test_case.json;
  }
}

TEST(ConfigErrorText, DescribesFaultsOfTheMembership) {
  const Json registry = {{"type", "registry"}};
  const Json second = {{"type", "registry"}, {"name", "other"}};
  const struct {
    Json json;
    std::string error_text;
  } cases[] = {
      {{{"sources", {registry, second}}}, "membership.sources[1].type: only one registry source is allowed"},
      {{{"sources", {registry, registry}}},
       "membership.sources[1].name: duplicates the name of another source"},
      {MakeRegistry({{"linger_ms", -1}}), "membership.linger_ms: must be a number from 0.0 to 3600000.0"},
      {MakeRegistry({{"memory_ms", -1}}), "membership.memory_ms: must be a number from 0.0 to 86400000.0"},
      {MakeRegistry({{"most_servers", 0}}),
       "membership.most_servers: must be a whole number from 1 to 1000000"},
      {MakeRegistry({{"flapping", {{"hold_over", 0}}}}),
       "membership.flapping.hold_over: must be a number from 1.0 to 1000.0"},
      {MakeRegistry({{"flapping", {{"free_under", 9}}}}),
       "membership.flapping.free_under: must be a number from 0.01 to 3.5"},
      {MakeRegistry({{"flapping", {{"most", 1}}}}),
       "membership.flapping.most: must be a number from 3.5 to 1000.0"},
      {MakeRegistry({{"flapping", {{"half_life_ms", 1}}}}),
       "membership.flapping.half_life_ms: must be a number from 100.0 to 3600000.0"},
      {MakeRegistry({{"flapping", {{"slow", 1}}}}), "membership.flapping.slow: is not a known setting"},
      {MakeRegistry({{"admission", {{"burst", 0}}}}),
       "membership.admission.burst: must be a number from 1.0 to 10000.0"},
      {MakeRegistry({{"admission", {{"per_s", 0}}}}),
       "membership.admission.per_s: must be a number from 0.01 to 10000.0"},
      {MakeRegistry({{"admission", {{"needy", -1}}}}),
       "membership.admission.needy: must be a whole number from 0 to 1000"},
      {MakeRegistry({{"pace", 1}}), "membership.pace: is not a known setting"},
  };
  for (const auto& test_case : cases) {
    EXPECT_EQ(ThrownText([&] { ParseMembershipConfig(test_case.json, "membership", Settings()); }),
              test_case.error_text)
        << test_case.json;
  }
}

TEST(ConfigErrorText, DescribesFaultsOfTheEnvironment) {
  EXPECT_EQ(ThrownText([] { ReadFile("/no/such/file"); }), "cannot read /no/such/file");
  unsetenv("LB_CONFIG");
  EXPECT_EQ(ThrownText([] { ReloadConfig(); }), "LB_CONFIG is not set; it must name the configuration file");
  setenv("LB_CONFIG", PROJECT_ROOT "/deploy/dns-sd.json", 1);
  for (const char* descriptor : {"-3", "x", "3x", "99999999999"}) {
    setenv("LB_ACCEPT_FD", descriptor, 1);
    EXPECT_EQ(ThrownText([] { LoadConfig(); }),
              "LB_ACCEPT_FD is not a valid file descriptor: " + std::string(descriptor));
  }
  unsetenv("LB_ACCEPT_FD");
  setenv("LB_LISTEN", "here", 1);
  EXPECT_EQ(ThrownText([] { LoadConfig(); }), "not a valid address with port: 'here'");
  unsetenv("LB_LISTEN");
  unsetenv("LB_CONFIG");
}

}  // namespace
}  // namespace tulipyoke
