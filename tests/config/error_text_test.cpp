// The exact text that operators see for each thing that can be wrong with a configuration.
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

std::string ErrorTextOf(const std::function<void()>& action) {
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

// A complete document whose other members are valid.
std::string DocumentWith(const std::string& members) {
  return R"({"settings":{"services":[{"name":"a"}]},)" + members + "}";
}

TEST(ConfigErrorText, NamesWhatIsWrongWithTheDocument) {
  const std::string wrong_form = "the configuration lacks something or has it in the wrong form: ";
  const std::vector<Case> cases = {
      {"", "the configuration is not JSON"},
      {"{", "the configuration is not JSON"},
      {"{}", wrong_form + "[json.exception.out_of_range.403] key 'settings' not found"},
      {R"({"settings":{}})", "settings name no class of requests"},
      {R"({"settings":{"services":7}})", "settings name no class of requests"},
      {R"({"seed":"xyz","settings":{}})", "seed is no hexadecimal number: xyz"},
      {R"({"seed":"","settings":{}})", "seed is no hexadecimal number: "},
      {R"({"seed":"12 ","settings":{}})", "seed is no hexadecimal number: 12 "},
      {R"({"seed":"12","limits":{"sockets":3},"settings":{}})", "limits.sockets is under 32"},
      {DocumentWith(R"("known":{"revision":1})"),
       "no list of servers: [json.exception.out_of_range.403] key 'complete' not found"},
      {DocumentWith(R"("log":7)"), "log: must be an object"},
      {DocumentWith(R"("log":{"form":7})"), "log.form: must be a text"},
      {DocumentWith(R"("log":{"form":"xml"})"), "log.form: is 'xml', but must be one of text, json"},
      {DocumentWith(R"("log":{"level":1})"), "log.level: is no setting that is known here"},
      {DocumentWith(R"("membership":[])"), "membership: must be an object"},
  };
  for (const Case& wrong : cases) {
    EXPECT_EQ(ErrorTextOf([&] { ParseConfig(wrong.input); }), wrong.error_text) << wrong.input;
  }
}

TEST(ConfigErrorText, NamesWhatIsWrongWithASetting) {
  const std::vector<Case> cases = {
      {R"({"services":[{"name":"a","aim":"soon"}]})",
       "setting services.0.aim is not a possible number: soon"},
      {R"({"services":[{"name":"a","aim":1e30}]})", "setting services.0.aim is not a possible number: 1e+30"},
      {R"({"services":[{"name":"a","semantics":"best"}]})",
       "setting services.0.semantics has a value that is not known: best"},
      {R"({"services":[{"name":"a","stream":"maybe"}]})",
       "setting services.0.stream has a value that is not known: maybe"},
      {R"({"services":[{"name":"a"}],"domain":{"freshness":["old"]}})",
       "setting domain.freshness has a value that is not known: old"},
      {R"({"services":[{"name":"a"}],"domain":{"lag_allowed":["x"]}})",
       "setting domain.lag_allowed is not a possible number: x"},
      {R"({"services":{"count":5000}})", "setting services.count is not a possible number: 5000"},
      {R"({"services":[{"name":"a"}],"n_instances":-1})", "setting n_instances is not a possible number: -1"},
  };
  for (const Case& wrong : cases) {
    const std::string document = R"({"settings":)" + wrong.input + "}";
    EXPECT_EQ(ErrorTextOf([&] { ParseConfig(document); }), wrong.error_text) << wrong.input;
  }
}

// Of several wrong settings the first one in the order of reading is named.
TEST(ConfigErrorText, NamesTheFirstWrongSetting) {
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
    const std::string text = ErrorTextOf([&] { SettingsFromTable(table); });
    EXPECT_EQ(text.find("setting " + std::string(path) + " "), 0u) << path << ": " << text;
  }
}

Json MembershipWith(const Json& source) { return {{"sources", {source}}}; }
Json DnsSourceWith(const Json& more) {
  Json source{{"type", "dns-sd"}, {"zone", "derby.example.org"}, {"resolvers", {"127.0.0.1:53"}}};
  source.update(more);
  return MembershipWith(source);
}
Json RegistryWith(const Json& more) {
  Json json = MembershipWith({{"type", "registry"}});
  json.update(more);
  return json;
}

TEST(ConfigErrorText, NamesWhatIsWrongWithASource) {
  const struct {
    Json json;
    std::string error_text;
  } cases[] = {
      {Json::object(), "membership.sources: must name 1 to 32 sources"},
      {{{"sources", 7}}, "membership.sources: must be a list"},
      {{{"sources", {7}}}, "membership.sources[0]: must be an object"},
      {MembershipWith(Json::object()), "membership.sources[0].type: is missing"},
      {MembershipWith({{"type", "file"}}),
       "membership.sources[0].type: is 'file', but must be one of registry, static, dns-sd"},
      {MembershipWith({{"type", "dns-sd"}}), "membership.sources[0].zone: is missing"},
      {MembershipWith({{"type", "static"}}), "membership.sources[0].members: must be a list of servers"},
      {MembershipWith({{"type", "static"}, {"members", {{{"id", 5}}}}}),
       "membership.sources[0].members: holds an entry that is none"},
      {DnsSourceWith({{"service", "a..b"}}),
       "membership.sources[0].service: is no service such as _readings._tcp"},
      {DnsSourceWith({{"service", 5}}), "membership.sources[0].service: must be a text"},
      {DnsSourceWith({{"zone", "a..b"}}), "membership.sources[0].zone: is no DNS name"},
      {DnsSourceWith({{"mode", "push"}}),
       "membership.sources[0].mode: is 'push', but must be one of poll, serial, transfer"},
      {DnsSourceWith({{"refresh_fraction", 2}}),
       "membership.sources[0].refresh_fraction: must be a number from 0.1 to 1.0"},
      {DnsSourceWith({{"look_ms", "x"}}),
       "membership.sources[0].look_ms: must be a number from 20.0 to 3600000.0"},
      {DnsSourceWith({{"most_asks", 0}}),
       "membership.sources[0].most_asks: must be a whole number from 1 to 256"},
      {DnsSourceWith({{"tries", 1.5}}), "membership.sources[0].tries: must be a whole number from 1 to 10"},
      {DnsSourceWith({{"allow", "10.0.0.0/8"}}), "membership.sources[0].allow: must be a list"},
      {DnsSourceWith({{"allow", {5}}}), "membership.sources[0].allow[0]: must be a text"},
      {DnsSourceWith({{"allow", {"10.0.0.0/8", "x"}}}),
       "membership.sources[0].allow[1]: no block of addresses such as 10.0.0.0/8: 'x'"},
      {DnsSourceWith({{"resolvers", Json::array()}}),
       "membership.sources[0].resolvers: must name 1 to 8 addresses with ports"},
      {DnsSourceWith({{"resolvers", {"here"}}}),
       "membership.sources[0].resolvers[0]: not an address and port: 'here'"},
      {DnsSourceWith({{"interval", 5}}), "membership.sources[0].interval: is no setting that is known here"},
  };
  for (const auto& wrong : cases) {
    EXPECT_EQ(ErrorTextOf([&] { ParseMembershipConfig(wrong.json, "membership", Settings()); }),
              wrong.error_text)
        << wrong.json;
  }
}

TEST(ConfigErrorText, NamesWhatIsWrongWithTheMembership) {
  const Json registry = {{"type", "registry"}};
  const Json second = {{"type", "registry"}, {"name", "other"}};
  const struct {
    Json json;
    std::string error_text;
  } cases[] = {
      {{{"sources", {registry, second}}}, "membership.sources[1].type: is a second registry"},
      {{{"sources", {registry, registry}}},
       "membership.sources[1].name: names a source that is there already"},
      {RegistryWith({{"linger_ms", -1}}), "membership.linger_ms: must be a number from 0.0 to 3600000.0"},
      {RegistryWith({{"memory_ms", -1}}), "membership.memory_ms: must be a number from 0.0 to 86400000.0"},
      {RegistryWith({{"most_servers", 0}}),
       "membership.most_servers: must be a whole number from 1 to 1000000"},
      {RegistryWith({{"flapping", {{"hold_over", 0}}}}),
       "membership.flapping.hold_over: must be a number from 1.0 to 1000.0"},
      {RegistryWith({{"flapping", {{"free_under", 9}}}}),
       "membership.flapping.free_under: must be a number from 0.01 to 3.5"},
      {RegistryWith({{"flapping", {{"most", 1}}}}),
       "membership.flapping.most: must be a number from 3.5 to 1000.0"},
      {RegistryWith({{"flapping", {{"half_life_ms", 1}}}}),
       "membership.flapping.half_life_ms: must be a number from 100.0 to 3600000.0"},
      {RegistryWith({{"flapping", {{"slow", 1}}}}),
       "membership.flapping.slow: is no setting that is known here"},
      {RegistryWith({{"admission", {{"burst", 0}}}}),
       "membership.admission.burst: must be a number from 1.0 to 10000.0"},
      {RegistryWith({{"admission", {{"per_s", 0}}}}),
       "membership.admission.per_s: must be a number from 0.01 to 10000.0"},
      {RegistryWith({{"admission", {{"needy", -1}}}}),
       "membership.admission.needy: must be a whole number from 0 to 1000"},
      {RegistryWith({{"pace", 1}}), "membership.pace: is no setting that is known here"},
  };
  for (const auto& wrong : cases) {
    EXPECT_EQ(ErrorTextOf([&] { ParseMembershipConfig(wrong.json, "membership", Settings()); }),
              wrong.error_text)
        << wrong.json;
  }
}

TEST(ConfigErrorText, NamesWhatIsWrongWithTheEnvironment) {
  EXPECT_EQ(ErrorTextOf([] { ReadFile("/no/such/file"); }), "cannot read /no/such/file");
  unsetenv("LB_CONFIG");
  EXPECT_EQ(ErrorTextOf([] { ReloadConfig(); }), "LB_CONFIG names no configuration file");
  setenv("LB_CONFIG", PROJECT_ROOT "/deploy/dns-sd.json", 1);
  for (const char* descriptor : {"-3", "x", "3x", "99999999999"}) {
    setenv("LB_ACCEPT_FD", descriptor, 1);
    EXPECT_EQ(ErrorTextOf([] { LoadConfig(); }), "LB_ACCEPT_FD is no descriptor: " + std::string(descriptor));
  }
  unsetenv("LB_ACCEPT_FD");
  setenv("LB_LISTEN", "here", 1);
  EXPECT_EQ(ErrorTextOf([] { LoadConfig(); }), "not an address and port: 'here'");
  unsetenv("LB_LISTEN");
  unsetenv("LB_CONFIG");
}

}  // namespace
}  // namespace tulipyoke
