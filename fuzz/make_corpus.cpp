// Writes the seeds of the corpus: what a correct name server answers to the browser's queries, in every mode.
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "standins/dns_network.hpp"

namespace {

using namespace tulipyoke;

constexpr int kModes = 3;
constexpr int kSteps = 24;
constexpr int kWithdrawStep = 12;
constexpr std::uint16_t kMessageId = 7;
constexpr Micros kResponseTime = 1000;

std::string Chunk(const std::string& bytes) {
  return std::string{static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size() & 0xff)} + bytes;
}

// The input of the fuzz target for one mode.
std::string SeedFor(dnssd::BrowseMode mode) {
  standins::DnsZone zone("derby.example.org");
  zone.Publish({{"a", "127.0.0.1", 7001, {"group=1", "started=1700000000000", "size=2"}, 10, ""},
                {"K\\195\\182ln\\.Nord", "::1", 7002, {"state=terminating", "id=s-1"}, 1, ""}});
  dnssd::BrowserOptions options;
  options.zone = "derby.example.org";
  options.mode = mode;
  dnssd::ZoneBrowser browser(options);
  std::string seed(1, static_cast<char>(mode));
  Micros now = 1'000'000;
  for (int step = 0; step < kSteps; ++step) {
    if (step == kWithdrawStep) zone.Withdraw({"a"});
    browser.Tick(now);
    const std::vector<dnssd::Query> queries = browser.TakeQueries();
    if (queries.empty()) now = browser.NextDue();
    for (const dnssd::Query& query : queries) {
      const std::string bytes = dnssd::EncodeQuery(kMessageId, query.question, query.serial);
      const std::string answer = zone.Answer(now, bytes, true).at(0);
      seed += Chunk(answer);
      now += kResponseTime;
      browser.OnResult(now, {query.id, 0, std::nullopt, {*dnssd::ParseMessage(answer)}});
    }
    browser.TakeListing();
  }
  return seed;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: make_corpus FOLDER\n";
    return 1;
  }
  for (int mode = 0; mode < kModes; ++mode) {
    const std::string file = std::string(argv[1]) + "/mode-" + std::to_string(mode);
    std::ofstream(file, std::ios::binary) << SeedFor(static_cast<dnssd::BrowseMode>(mode));
  }
  return 0;
}
