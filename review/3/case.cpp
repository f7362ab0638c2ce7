// Clients that send several statements at once, at a router that an operator takes out of service.
#include <csignal>
#include <deque>
#include <stdexcept>

#include "../common/harness.hpp"

namespace {

using namespace review;

constexpr int kServers = 4;
constexpr std::int64_t kWorkMs = 150;  // of one read
constexpr int kClients = 6;
constexpr int kBatch = 4;                    // statements that a client sends in one write
constexpr std::int64_t kBatchEveryMs = 100;  // so that a client always has statements without an answer
constexpr std::int64_t kDrainAfterMs = 1500;
constexpr std::int64_t kLengthMs = 6000;
constexpr int kPatienceMs = 900;  // how long a client waits for an answer

struct Statement {
  std::string id;
  int batch = 0;
  std::int64_t sent = 0;
};

struct Totals {
  std::mutex mutex;
  int served = 0, refused = 0, failed = 0, crossed = 0, lost = 0;
};

// One connection of a client: sends a batch every kBatchEveryMs until the connection ends, and reads the
// answers.
void UseConnection(Record& record, Totals& totals, std::uint16_t port, int client, std::int64_t end,
                   std::atomic<int>& next) {
  const ChannelPtr session = OpenSession(port, 1000);
  if (!session) return SleepMs(100);
  std::mutex mutex;
  std::deque<Statement> unanswered;
  std::atomic<bool> over = false;
  std::thread writer([&] {
    for (int batch = 0; !over && NowMs() < end; ++batch) {
      std::string bytes;
      {
        const std::lock_guard lock(mutex);
        for (int i = 0; i < kBatch; ++i) {
          const std::string id = "q" + std::to_string(next++);
          bytes += QueryMessage("SELECT blob FROM rows WHERE handle = 'h" + id + "' /* id=" + id +
                                ",c=history-read,t=county-councils,d=" + std::to_string(kPatienceMs) +
                                ",cluster=0 */");
          unanswered.push_back({id, batch, NowMs()});
        }
      }
      if (!session->Write(bytes)) return;
      SleepMs(kBatchEveryMs);
    }
  });
  int last_answered_batch = -1;
  std::string last_code;
  while (true) {
    const Answer answer = ReadAnswer(*session, 3000);
    if (answer.kind == Answer::Kind::kClosed || answer.kind == Answer::Kind::kNone) break;
    const std::lock_guard lock(mutex);
    if (unanswered.empty()) break;
    const Statement statement = unanswered.front();
    unanswered.pop_front();
    last_answered_batch = statement.batch;
    last_code = answer.code;
    record.Line("client " + std::to_string(client) + ": " + statement.id + " " + NameOf(answer.kind) + " " +
                answer.code);
    const std::lock_guard totals_lock(totals.mutex);
    if (answer.kind == Answer::Kind::kServed) ++totals.served;
    if (answer.kind == Answer::Kind::kRefused) ++totals.refused;
    if (answer.kind == Answer::Kind::kFailed) ++totals.failed;
    if (session->ended()) break;
  }
  const std::int64_t ended = NowMs();
  over = true;
  session->Shut();
  writer.join();
  // The router has read a statement that came in one write with an answered one. A later one may have crossed
  // the end of the connection; its client would send it once more.
  for (const Statement& statement : unanswered) {
    const std::lock_guard lock(totals.mutex);
    if (statement.batch > last_answered_batch) {
      ++totals.crossed;
      record.Line("client " + std::to_string(client) + ": " + statement.id + ", sent " +
                  std::to_string(ended - statement.sent) + " ms before the end, has no answer");
      continue;
    }
    ++totals.lost;
    record.Say("BROKEN: client " + std::to_string(client) + ": " + statement.id + " has no answer; sent " +
               std::to_string(ended - statement.sent) +
               " ms before the end of the connection in one write with a statement that was answered " +
               last_code);
  }
}

int Run(Record& record, const std::string& root) {
  const Folder folder;
  std::vector<std::unique_ptr<ReadingsServer>> servers;
  ConfigOptions config;
  for (int i = 0; i < kServers; ++i) {
    const bool primary = i == 0;
    ReadingsServer::Behaviour behaviour;
    behaviour.answer = [primary](const Query& query) {
      if (query.probe) return ProbeAnswer(primary, NowMs());
      SleepMs(kWorkMs);
      return RowMessages("value of " + HandleOf(query.text)) + Told(primary, NowMs()) + ReadyMessage();
    };
    servers.push_back(std::make_unique<ReadingsServer>(behaviour));
    config.members.push_back(Member("s-" + std::to_string(i), servers.back()->port(), "derby"));
  }
  Registry registry;
  registry.SetList(config.members);
  config.port = FreePort();
  config.registry = registry.port();
  config.admin = FreePort();
  config.services = HistoryRead();
  config.freshness = "\"loose\"";
  config.bounds = "0";
  Router router(root, folder.path(), "n0", ConfigText(config));
  if (!AwaitReady(config.port, 10000)) throw std::runtime_error("the router does not become ready");

  Totals totals;
  std::atomic<int> next = 0;
  std::atomic<bool> drained = false;
  const std::int64_t start = NowMs();
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    // After the answer "out of service" to the empty query, the front sends no new connections here.
    clients.emplace_back([&, c] {
      while (NowMs() - start < kLengthMs && !drained)
        UseConnection(record, totals, config.port, c, start + kLengthMs, next);
    });
  }
  SleepMs(kDrainAfterMs);
  if (Trouble()) {
    drained = true;
    record.Say("the operator takes the router out of service: " +
               CallAdmin(config.admin, "POST", "/control/out-of-service"));
  }
  for (std::thread& client : clients) client.join();
  record.Say("served " + std::to_string(totals.served) + ", refused " + std::to_string(totals.refused) +
             ", failed " + std::to_string(totals.failed) + ", lost " + std::to_string(totals.lost) +
             "; beyond these, may have crossed the end of a connection: " + std::to_string(totals.crossed));
  router.Signal(SIGTERM);
  for (int i = 0; i < 400 && !router.Ended(); ++i) SleepMs(10);
  if (totals.served == 0) return kNotRun;
  return totals.lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return review::kNotRun;
  return review::RunCase(argv[2], [&](review::Record& record) { return Run(record, argv[1]); });
}
