// Settings of the two deployments that the pages describe, in the words of the simulator's first message.
#ifndef TULIPYOKE_REVIEW_COMMON_2_SETTINGS_HPP_
#define TULIPYOKE_REVIEW_COMMON_2_SETTINGS_HPP_

#include <string>

#include "world.hpp"

namespace review2 {

// The settings of `trust-readings`, as WIRE-tulipyoke.md prints them in its section 14.
inline Json TrustSettings() {
  return Json::parse(R"({
    "clients": {"marks_retry": false},
    "discovery": "push",
    "domain": {"catch_up_wait": 20000, "freshness": ["recent", "own_writes", "loose", "update"],
               "guards": "hold", "lag_allowed": [200000, 0, 0, 0], "role_listed": "off", "stamps": true,
               "token_mode": "router", "waits_for_copy": false},
    "failure_domains": ["derby", "nottingham"], "kinds": ["std-5core"], "layers": ["readings-db"],
    "me": 0, "n_instances": 2, "over_share_worth": 0.1,
    "policy_limits": {"cancel": true, "connect_timeout": 250000, "idle_close": 15000000, "max_open": 30000,
                      "max_retry_after": 500000, "most_tries": 8, "multiplex": 1, "peers": false,
                      "probes": true, "retry_after": true, "second_copies": true},
    "prices": {"cross_zone": 0.027, "late_fail": 0.052, "probe": 0.038, "waste": 0.05},
    "quantum": 5000,
    "realms": [{"name": "county-councils", "fraction": 0.57, "quota_per_s": 351.0},
               {"name": "school-network", "fraction": 0.26, "quota_per_s": 160.0},
               {"name": "resident-groups", "fraction": 0.17, "quota_per_s": 105.0}],
    "rules": {"answer_slack": 20000, "ask_within": 10000000, "cold_from": 0.15, "drain_grace": 2000000,
              "fall": 3000000, "tip_multiple": 3.0, "warm_after": 18000000},
    "service_type": "replicas",
    "services": [
      {"name": "map-read", "semantics": "free", "group": "all", "aim": 300000, "deadline": 1200000,
       "late_worth": 0.2, "stream": false, "window": 5000000, "worth": 3.0},
      {"name": "own-read", "semantics": "free", "group": "all", "aim": 300000, "deadline": 1200000,
       "late_worth": 0.0, "stream": false, "window": 5000000, "worth": 1.0},
      {"name": "history-read", "semantics": "free", "group": "all", "aim": 400000, "deadline": 1000000,
       "late_worth": 0.2, "stream": false, "window": 5000000, "worth": 1.0},
      {"name": "reading-write", "semantics": "guarded", "group": "cell", "aim": 500000, "deadline": 5000000,
       "late_worth": 0.3, "stream": false, "window": 3000000, "worth": 6.0}],
    "stats": {"fields": ["x0", "x1", "util"], "via": "on_probe"},
    "tier": 0, "weights": "off", "worth_by": "request", "zone": 0
  })");
}

// The settings of `praha-main`: where that page and its site file differ from `trust-readings`.
inline Json PrahaSettings() {
  Json settings = TrustSettings();
  settings["clients"]["marks_retry"] = true;
  settings["discovery"] = "ask";
  settings["domain"]["catch_up_wait"] = 100000;
  settings["domain"]["freshness"] = {"recent", "own_writes", "update"};
  settings["domain"]["lag_allowed"] = {300000, 0, 0};
  settings["domain"]["role_listed"] = "delayed";
  settings["domain"]["token_mode"] = "client";
  settings["failure_domains"] = {"holesovice", "zizkov", "smichov"};
  settings["kinds"] = {"std5", "eco4"};
  settings["layers"] = {"issue-db"};
  settings["n_instances"] = 3;
  settings["over_share_worth"] = 0.2;
  settings["policy_limits"]["idle_close"] = 30000000;
  settings["policy_limits"]["max_retry_after"] = 2000000;
  settings["policy_limits"]["most_tries"] = 10;
  settings["policy_limits"]["second_copies"] = false;
  settings["prices"] = {{"cross_zone", 0.04}, {"late_fail", 0.08}, {"probe", 0.01}, {"waste", 0.08}};
  settings["realms"] = Json::parse(R"([
    {"name": "eshop-app", "fraction": 0.48, "quota_per_s": 180.0},
    {"name": "bank-mobil", "fraction": 0.39, "quota_per_s": 146.0},
    {"name": "jizdenky-web", "fraction": 0.13, "quota_per_s": 49.0}])");
  settings["rules"]["cold_from"] = 0.16;
  settings["rules"]["drain_grace"] = 250000;
  settings["rules"]["fall"] = 1000000;
  settings["rules"]["tip_multiple"] = 4.0;
  settings["rules"]["warm_after"] = 17000000;
  settings["services"] = Json::parse(R"([
    {"name": "list-read", "semantics": "free", "group": "all", "aim": 600000, "deadline": 2500000,
     "late_worth": 0.0, "stream": false, "window": 5000000, "worth": 1.0},
    {"name": "own-read", "semantics": "free", "group": "all", "aim": 300000, "deadline": 1000000,
     "late_worth": 0.0, "stream": false, "window": 5000000, "worth": 3.0},
    {"name": "event-write", "semantics": "guarded", "group": "cell", "aim": 750000, "deadline": 3000000,
     "late_worth": 0.3, "stream": false, "window": 2000000, "worth": 6.0}])");
  settings["stats"]["fields"] = {"x0", "x1"};
  settings["weights"] = "nominal";
  return settings;
}

// The configuration of a router at that discovery, with the list that it last had.
inline Json Configuration(const Json& settings, const std::string& discovery, const Json& known) {
  return {{"discovery", discovery},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", known},
          {"settings", settings}};
}

}  // namespace review2

#endif  // TULIPYOKE_REVIEW_COMMON_2_SETTINGS_HPP_
