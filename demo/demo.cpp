// The main job on loopback: the real program, three stand-in servers that it knows by DNS-SD records alone, a
// few statements with their answers, and a server whose record vanishes. Ends with status 0 if all of it went
// as it must.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "checks/rules.hpp"
#include "standins/dns_responder.hpp"
#include "standins/pg_client.hpp"
#include "standins/pg_server.hpp"

namespace {

using namespace tulipyoke;
using namespace std::chrono_literals;

std::uint16_t FreePort() {
  asio::io_context io;
  return asio::ip::tcp::acceptor(io, standins::Loopback(0)).local_endpoint().port();
}

class Program {
 public:
  Program(const std::string& path, const std::string& config) {
    pid_ = fork();
    if (pid_ != 0) return;
    setenv("LB_CONFIG", config.c_str(), 1);
    execl(path.c_str(), path.c_str(), "run", nullptr);
    _exit(127);
  }
  int Stop() {
    kill(pid_, SIGTERM);
    int status = 0;
    waitpid(pid_, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
  }

 private:
  pid_t pid_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: tulipyoke_demo PROGRAM\n";
    return 1;
  }
  standins::Loop loop;
  checks::History history;
  standins::DnsResponder dns(loop, "derby.example.org");
  standins::PgServer one(loop, history, "one", "a reading from one"),
      two(loop, history, "two", "a reading from two"), three(loop, history, "three", "a reading from three");
  std::vector<standins::Published> records;
  for (const auto* server : {&one, &two, &three}) {
    records.push_back(
        {server->name(), "127.0.0.1", server->port(), {"txtvers=1", "started=1700000000000"}, 10, ""});
  }
  one.Behave({.primary = true});
  dns.Publish(records);

  const std::uint16_t port = FreePort();
  const std::string folder =
      std::filesystem::temp_directory_path() / ("tulipyoke-demo-" + std::to_string(getpid()));
  std::filesystem::create_directory(folder);
  const nlohmann::json config{
      {"name", "demo"},
      {"listen", "127.0.0.1:" + std::to_string(port)},
      {"seed", "8c1f30d27a5be964"},
      {"settings",
       {{"services",
         {{{"name", "history-read"}, {"aim", 400000}, {"deadline", 1000000}, {"semantics", "free"}},
          {{"name", "reading-write"},
           {"aim", 500000},
           {"deadline", 5000000},
           {"semantics", "guarded"},
           {"window", 3000000},
           {"group", "cell"}}}},
        {"domain", {{"freshness", {"loose", "update"}}}},
        {"policy_limits", {{"probes", true}}},
        {"stats", {{"via", "on_probe"}, {"fields", {"x0", "x1", "util"}}}},
        {"rules",
         {{"cold_from", 0.15},
          {"warm_after", 18000000},
          {"tip_multiple", 3.0},
          {"fall", 3000000},
          {"drain_grace", 2000000}}}}},
      {"membership",
       {{"sources",
         {{{"type", "dns-sd"},
           {"zone", "derby.example.org"},
           {"site", "derby"},
           {"mode", "transfer"},
           {"look_ms", 200},
           {"allow", {"127.0.0.0/8"}},
           {"resolvers", {dns.address()}}}}}}}};
  std::ofstream(folder + "/config.json") << config.dump(1);
  std::cout << "Records of three servers are published; the router is told of the zone and of no server.\n"
            << std::flush;
  Program program(argv[1], folder + "/config.json");

  standins::PgClient client(port, history, "demo", "demo");
  bool well = false;
  for (int i = 0; i < 250 && !well; ++i) {
    std::this_thread::sleep_for(20ms);
    well = client.Ask("history-read", false, 1000).end == checks::End::kServed;
  }
  const auto show = [&](const std::string& request_class, bool write) {
    standins::Outcome outcome = client.Ask(request_class, write, 3000);
    // Told to come back: who is primary is not known yet.
    for (int i = 0; i < 5 && outcome.end == checks::End::kRefused; ++i) {
      std::this_thread::sleep_for(300ms);
      outcome = client.Ask(request_class, write, 3000);
    }
    well = well && outcome.end == checks::End::kServed;
    std::cout << "  " << request_class << ": "
              << (outcome.code.empty() ? outcome.value : "error " + outcome.code) << std::endl;
  };
  for (int i = 0; i < 6; ++i) show("history-read", false);
  show("reading-write", true);
  std::cout << "The record of 'two' vanishes; its server still works.\n" << std::flush;
  dns.Withdraw({"two"});
  history.Add(standins::Loop::Now(), checks::Told{"demo", "two", checks::Heard::kDraining});
  std::this_thread::sleep_for(700ms);
  const std::size_t before = two.statements();
  for (int i = 0; i < 8; ++i) show("history-read", false);
  well = well && two.statements() == before;
  std::cout << "'two' has had " << two.statements() - before << " requests since the router was told.\n";
  const int status = program.Stop();
  checks::RuleOptions rules;
  rules.classes["reading-write"] = {Freshness::kWrite, Idempotency::kWithKey, 0, 3'000'000};
  const auto broken = checks::Check(history.Events(), rules);
  std::cout << ToText(broken) << (broken.empty() ? "All rules were kept.\n" : "");
  loop.Stop();
  std::filesystem::remove_all(folder);
  well = well && status == 0 && broken.empty();
  std::cout << (well ? "The demo went as it must.\n" : "The demo FAILED.\n");
  return well ? 0 : 1;
}
