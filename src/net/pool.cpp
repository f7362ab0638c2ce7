#include "src/net/pool.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "src/event_loop/endpoint.hpp"
#include "src/log/log.hpp"
#include "src/pg/answer.hpp"
#include "src/pg/wire.hpp"

namespace tulipyoke::net {
namespace {

constexpr std::string_view kUser = "api";
constexpr std::string_view kDatabase = "ledger";
constexpr std::string_view kProbeQuery = "SHOW pressure";
// A connection is used no more well before the server closes it: a query that crosses its close ends as a
// reset.
constexpr double kIdleShare = 0.6;
// The sweep comes round twice in what is left of the idle time then, and as often as this for what stalls.
constexpr int kSweepsInRest = 2;
constexpr Micros kSweepEvery = 500'000, kLeastSweep = 10'000;
// A server may send more than was asked for right behind an answer. A connection rests for so long before the
// next query, so that what comes then is never taken for that query's answer.
constexpr Micros kRest = 2'000;
constexpr std::size_t kReadSize = 8192;
// A value that is being passed on is given up when its server has sent nothing for so long; until then it may
// only be slow.
constexpr Micros kStalled = 10'000'000;

template <typename T>
void Remove(std::vector<T>& list, const T& item) {
  const auto it = std::find(list.begin(), list.end(), item);
  if (it != list.end()) list.erase(it);
}

}  // namespace

struct ServerPool::Connection {
  enum class State { kOpening, kResting, kIdle, kBusy, kClosed };

  Connection(asio::io_context& io, ServerId id, const asio::ip::tcp::endpoint& at)
      : socket(io), alarm(io), server(id), address(at), reader(pg::MessageReader::ForAnswers()) {}

  asio::ip::tcp::socket socket;
  CancellableTimer alarm;
  ServerId server;
  asio::ip::tcp::endpoint address;
  State state = State::kOpening;
  Micros idle_since = 0;
  pg::MessageReader reader;
  pg::AnswerReader answer;
  Ticket ticket = 0;
  // A value that is passed on as it comes: how much of it is still to come, and whether its client has to
  // catch up first.
  std::shared_ptr<Transfer> transfer;
  std::size_t value_left = 0;
  bool paused = false;
  Micros last_bytes = 0;
  Micros start_by = kNoLimit;  // of the statement that is being written
  std::string out, wait;
  std::shared_ptr<const Payload> payload;      // while it is being written
  std::array<asio::const_buffer, 5> unsent{};  // what the socket has not taken yet
  std::array<char, kReadSize> in{};

  bool written() const { return asio::buffer_size(unsent) == 0; }
};

ServerPool::ServerPool(asio::io_context& io, LoopClock& clock, Exchange& exchange, const PoolOptions& options)
    : io_(io), clock_(clock), exchange_(exchange), options_(options), sweep_(io) {
  ArmSweep();
}

ServerPool::~ServerPool() = default;

void ServerPool::Start(const StartAttempt& attempt) {
  Place(attempt.server, {attempt.ticket, attempt.payload, attempt.give_up, attempt.start_by});
}

void ServerPool::Start(const StartProbe& probe) { Place(probe.server, {probe.ticket}); }

void ServerPool::Place(ServerId server, Job job) {
  Site& site = sites_[server];
  if (!site.endpoint) {
    exchange_.Finished(clock_.Now(), job.ticket, Outcome{.status = Status::kConnectFailed});
    return;
  }
  while (!site.idle.empty()) {
    const Link link = site.idle.back();
    const bool old = link->idle_since < OldestIdle();
    if (old || !Quiet(*link)) {
      ++(old ? counters_.retired : counters_.stray);
      Close(link);
      continue;
    }
    site.idle.pop_back();
    Run(link, std::move(job));
    return;
  }
  waiting_[job.ticket] = server;
  site.waiting.push_back(std::move(job));
  OpenAsNeeded(server);
}

// One connection comes up for each that waits; whichever is free first is taken.
void ServerPool::OpenAsNeeded(ServerId server) {
  Site& site = sites_[server];
  while (site.opening.size() + site.resting < site.waiting.size()) {
    if (connections_ >= options_.most_connections && !ShedIdle()) {
      ++counters_.no_room;
      const Ticket ticket = site.waiting.back().ticket;
      site.waiting.pop_back();
      waiting_.erase(ticket);
      exchange_.Finished(clock_.Now(), ticket, Outcome{.status = Status::kConnectFailed});
      continue;
    }
    Open(server);
  }
}

void ServerPool::Open(ServerId server) {
  Site& site = sites_[server];
  const auto link = std::make_shared<Connection>(io_, server, *site.endpoint);
  site.opening.push_back(link);
  ++connections_;
  ++counters_.opened;
  link->alarm.ExpireAt(clock_.ToSteady(clock_.Now() + options_.connect_timeout),
                       [this, weak = std::weak_ptr(link)] {
                         if (const Link late = weak.lock()) OpenFailed(late, Status::kConnectFailed);
                       });
  link->socket.async_connect(link->address, [this, link](std::error_code error) {
    if (link->state != Connection::State::kOpening) return;
    if (!error) link->socket.non_blocking(true, error);
    if (error) return OpenFailed(link, Status::kConnectFailed);
    link->socket.set_option(asio::ip::tcp::no_delay(true), error);
    pg::AppendStartup(link->out, kUser, kDatabase);
    link->unsent = {asio::buffer(link->out)};
    Write(link);
    if (link->state != Connection::State::kClosed) Read(link);
  });
}

void ServerPool::Read(const Link& link) {
  link->socket.async_read_some(asio::buffer(link->in), [this, link](std::error_code error, std::size_t size) {
    if (link->state == Connection::State::kClosed) return;
    if (error) return OnBroken(link);
    try {
      OnBytes(link, size);
    } catch (const pg::ProtocolError&) {
      OnGarbage(link);
    }
    if (link->state != Connection::State::kClosed && !link->paused) Read(link);
  });
}

void ServerPool::OnBytes(const Link& link, std::size_t size) {
  const bool asked = link->state == Connection::State::kOpening || link->state == Connection::State::kBusy;
  if (!asked) return Retire(link);
  link->reader.Feed(std::string_view(link->in.data(), size));
  link->last_bytes = clock_.Now();
  while (link->state != Connection::State::kClosed) {
    if (link->value_left > 0) {
      PassOn(link);
      if (link->value_left > 0) return;
      continue;
    }
    if (link->state == Connection::State::kBusy) {
      if (const std::optional<std::size_t> large = link->reader.NextLargeRow()) {
        OnLargeRow(link, *large);
        continue;
      }
    }
    const std::optional<pg::Message> message = link->reader.Next();
    if (!message) return;
    switch (link->state) {
      case Connection::State::kOpening:
        OnStartup(link, message->type, message->body);
        break;
      case Connection::State::kBusy:
        if (link->answer.Take(*message)) OnAnswered(link);
        break;
      case Connection::State::kResting:
      case Connection::State::kIdle:
      case Connection::State::kClosed:
        return;
    }
  }
}

void ServerPool::OnLargeRow(const Link& link, std::size_t size) {
  link->answer.BeginRow();
  link->transfer = exchange_.Begin(clock_.Now(), link->ticket, link->answer.shape(), size);
  if (!link->transfer) return Close(link);  // nobody waits for it any more
  link->value_left = size;
  link->transfer->on_room = [this, weak = std::weak_ptr(link)] {
    const Link waiting = weak.lock();
    if (!waiting || waiting->state == Connection::State::kClosed || !waiting->paused) return;
    waiting->paused = false;
    waiting->last_bytes = clock_.Now();
    Read(waiting);
  };
}

void ServerPool::PassOn(const Link& link) {
  const std::string_view bytes = link->reader.TakeValue(link->value_left);
  link->value_left -= bytes.size();
  const std::shared_ptr<Transfer> transfer = link->transfer;
  if (!bytes.empty()) link->paused = !transfer->Give(bytes);
}

void ServerPool::OnAnswered(const Link& link) {
  const Ticket ticket = link->ticket;
  link->transfer.reset();
  link->paused = false;  // the rest is the client's side's
  Outcome outcome = *link->answer.Settled();
  busy_.erase(ticket);
  link->state = Connection::State::kResting;
  ++sites_[link->server].resting;
  // Answered before all of it was sent: the next query's bytes would come behind the rest of this one's.
  if (link->reader.buffered() > 0 || !link->written()) {
    Retire(link);
  } else {
    link->alarm.ExpireAt(clock_.ToSteady(clock_.Now() + kRest), [this, weak = std::weak_ptr(link)] {
      if (const Link rested = weak.lock()) OnReady(rested);
    });
  }
  exchange_.Finished(clock_.Now(), ticket, std::move(outcome));
}

// A spoilt answer may have run, as an error may. The server is no worse for it than for any other failure.
void ServerPool::OnGarbage(const Link& link) {
  ++counters_.garbage;
  if (link->state != Connection::State::kBusy) return OnBroken(link);
  const Ticket ticket = link->ticket;
  Close(link);
  exchange_.Finished(clock_.Now(), ticket, Outcome{.status = Status::kError});
}

void ServerPool::Retire(const Link& link) {
  ++counters_.stray;
  Drop(link);
}

void ServerPool::Drop(const Link& link) {
  Close(link);
  OpenAsNeeded(link->server);
}

void ServerPool::OnStartup(const Link& link, char type, std::string_view body) {
  switch (type) {
    case 'R':
      if (pg::ReadU32(body, 0) != 0) throw pg::ProtocolError("a password is asked for");
      return;
    case 'E':
      return OpenFailed(link, pg::ParseError(body).code == "53300" ? Status::kFull : Status::kConnectFailed);
    case 'Z':
      link->alarm.Cancel();
      return OnReady(link);
    case 'S':
    case 'K':
    case 'N':
      return;
    default:
      throw pg::ProtocolError("a message that no startup calls for");
  }
}

void ServerPool::OnReady(const Link& link) {
  Site& site = sites_[link->server];
  if (link->address != site.endpoint) return Drop(link);  // the server has moved
  if (link->reader.buffered() > 0 || !link->written() || !Quiet(*link)) return Retire(link);
  if (link->state == Connection::State::kOpening) Remove(site.opening, link);
  if (link->state == Connection::State::kResting) --site.resting;
  link->state = Connection::State::kIdle;
  if (!site.waiting.empty()) {
    Job job = std::move(site.waiting.front());
    site.waiting.pop_front();
    waiting_.erase(job.ticket);
    return Run(link, std::move(job));
  }
  link->idle_since = clock_.Now();
  site.idle.push_back(link);
}

// Bytes that nothing called for, or its end: not one query more. That the end has come shows in no count of
// waiting bytes, and the loop may not have been told of it yet.
bool ServerPool::Quiet(Connection& link) {
  char byte = 0;
  std::error_code error;
  link.socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

void ServerPool::Run(const Link& link, Job job) {
  // Its connection took too long: sent now, it could take effect a second time.
  if (job.start_by < clock_.Now()) {
    exchange_.Finished(clock_.Now(), job.ticket, Outcome{.status = Status::kMoot});
    return OnReady(link);
  }
  link->state = Connection::State::kBusy;
  link->ticket = job.ticket;
  link->start_by = job.start_by;
  using Query = pg::AnswerReader::Query;
  link->answer = pg::AnswerReader(job.payload ? Query::kStatement : Query::kProbe);
  link->transfer.reset();
  link->value_left = 0;
  busy_[job.ticket] = link;
  // The client's bytes go out from where they are held, but for the wait.
  static const Payload probe{std::string(kProbeQuery), kProbeQuery.size(), 0};
  link->payload = job.payload;
  const Payload& payload = job.payload ? *job.payload : probe;
  link->wait.clear();
  if (job.payload) link->wait = std::to_string(std::max<Micros>(1, (job.give_up - clock_.Now()) / 1000));
  const std::string_view before = payload.Before(), behind = payload.Behind();
  link->out.clear();
  pg::AppendHead(link->out, 'Q', before.size() + link->wait.size() + behind.size() + 1);
  link->unsent = {asio::buffer(link->out), asio::buffer(before), asio::buffer(link->wait),
                  asio::buffer(behind), asio::buffer("", 1)};
  Write(link);
}

// At once, as far as the socket takes it. So `unsent` is true at every moment: a handler that told later what
// the socket took could come behind that of the connection's end, and an attempt whose last byte is out would
// be taken for one that never was.
void ServerPool::Write(const Link& link) {
  std::error_code error;
  while (!link->written() && !error) {
    std::size_t taken = link->socket.write_some(link->unsent, error);
    for (asio::const_buffer& part : link->unsent) {
      const std::size_t of_this = std::min(taken, part.size());
      part += of_this;
      taken -= of_this;
    }
  }
  if (error == asio::error::would_block) {
    return link->socket.async_wait(asio::socket_base::wait_write, [this, link](std::error_code failed) {
      if (failed || link->state == Connection::State::kClosed) return;
      if (link->state == Connection::State::kBusy && link->start_by < clock_.Now()) return TooLate(link);
      Write(link);
    });
  }
  if (error) return OnBroken(link);
  link->payload.reset();
  if (link->state == Connection::State::kBusy) exchange_.Written(link->ticket);
}

// The rest of a statement has waited for its server for too long. That begins with the last byte: sent now,
// it could take effect a second time.
void ServerPool::TooLate(const Link& link) {
  const Ticket ticket = link->ticket;
  Drop(link);
  exchange_.Finished(clock_.Now(), ticket, Outcome{.status = Status::kMoot});
}

void ServerPool::OnBroken(const Link& link) {
  if (link->state == Connection::State::kOpening) return OpenFailed(link, Status::kConnectFailed);
  const bool busy = link->state == Connection::State::kBusy;
  const Ticket ticket = link->ticket;
  std::optional<Outcome> outcome = busy ? link->answer.Settled() : std::nullopt;
  if (!outcome) outcome = Outcome{.status = link->written() ? Status::kReset : Status::kConnectFailed};
  if (busy) ++counters_.broken;
  Drop(link);
  if (busy) exchange_.Finished(clock_.Now(), ticket, std::move(*outcome));
}

void ServerPool::OpenFailed(const Link& link, Status status) {
  ++counters_.open_failed;
  const ServerId server = link->server;
  Close(link);
  Site& site = sites_[server];
  while (site.waiting.size() > site.opening.size() + site.resting) {
    const Ticket ticket = site.waiting.front().ticket;
    site.waiting.pop_front();
    waiting_.erase(ticket);
    exchange_.Finished(clock_.Now(), ticket, Outcome{.status = status});
  }
}

void ServerPool::Close(const Link& link) {
  if (link->state == Connection::State::kClosed) return;
  Site& site = sites_[link->server];
  if (link->state == Connection::State::kOpening) Remove(site.opening, link);
  if (link->state == Connection::State::kResting) --site.resting;
  if (link->state == Connection::State::kIdle) Remove(site.idle, link);
  if (link->state == Connection::State::kBusy) busy_.erase(link->ticket);
  link->state = Connection::State::kClosed;
  link->transfer.reset();
  link->alarm.Cancel();
  std::error_code ignored;
  link->socket.close(ignored);
  --connections_;
}

void ServerPool::End(Ticket ticket) {
  if (const auto busy = busy_.find(ticket); busy != busy_.end()) {
    ++counters_.given_up;
    const Link link = busy->second;
    return Close(link);
  }
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) return;
  std::deque<Job>& waiting = sites_[found->second].waiting;
  std::erase_if(waiting, [&](const Job& job) { return job.ticket == ticket; });
  waiting_.erase(found);
}

// What is out at the old address is let finish; the rest moves.
void ServerPool::SetAddress(ServerId server, const std::string& address) {
  Site& site = sites_[server];
  try {
    site.endpoint = ToEndpoint(address);
  } catch (const std::exception& error) {
    site.endpoint.reset();
    LogWarning("server_address_unusable", "a server has an unusable address: " + std::string(error.what()));
  }
  CloseIdle(server);
  for (const Link& link : std::vector<Link>(site.opening)) Close(link);
  if (site.endpoint) return OpenAsNeeded(server);
  FailWaiting(site);
}

void ServerPool::Forget(ServerId server) {
  Site& site = sites_[server];
  site.endpoint.reset();
  CloseIdle(server);
  for (const Link& link : std::vector<Link>(site.opening)) Close(link);
  FailWaiting(site);
}

void ServerPool::FailWaiting(Site& site) {
  for (const Job& job : std::exchange(site.waiting, {})) {
    waiting_.erase(job.ticket);
    exchange_.Finished(clock_.Now(), job.ticket, Outcome{.status = Status::kConnectFailed});
  }
}

void ServerPool::CloseIdle(ServerId server) {
  for (const Link& link : std::vector<Link>(sites_[server].idle)) Close(link);
}

void ServerPool::Resize(std::size_t most_connections) {
  options_.most_connections = most_connections;
  while (connections_ > most_connections && ShedIdle()) {
  }
}

bool ServerPool::ShedIdle() {
  Link oldest;
  for (const auto& [server, site] : sites_) {
    if (!site.idle.empty() && (!oldest || site.idle.front()->idle_since < oldest->idle_since)) {
      oldest = site.idle.front();
    }
  }
  if (!oldest) return false;
  ++counters_.retired;
  Close(oldest);
  return true;
}

void ServerPool::ArmSweep() {
  const auto rest = static_cast<Micros>((1 - kIdleShare) * static_cast<double>(options_.idle_close));
  sweep_.ExpireAfter(std::chrono::microseconds(std::clamp(rest / kSweepsInRest, kLeastSweep, kSweepEvery)),
                     [this] {
                       Sweep();
                       ArmSweep();
                     });
}

Micros ServerPool::OldestIdle() {
  return clock_.Now() - static_cast<Micros>(kIdleShare * static_cast<double>(options_.idle_close));
}

void ServerPool::Sweep() {
  for (auto& [server, site] : sites_) {
    while (!site.idle.empty() && site.idle.front()->idle_since <= OldestIdle()) {
      ++counters_.retired;
      Close(Link(site.idle.front()));
    }
  }
  std::vector<Link> stalled;
  for (const auto& [ticket, link] : busy_) {
    if (link->transfer && !link->paused && clock_.Now() - link->last_bytes > kStalled)
      stalled.push_back(link);
  }
  for (const Link& link : stalled) OnBroken(link);
  // What is still under way at a server that was forgotten makes its entry anew, until it has ended.
  std::erase_if(sites_, [](const auto& entry) {
    const Site& site = entry.second;
    return !site.endpoint && site.idle.empty() && site.opening.empty() && site.waiting.empty() &&
           site.resting == 0;
  });
}

void ServerPool::Stop() {
  sweep_.Cancel();
  for (auto& [server, site] : sites_) {
    for (const Link& link : std::vector<Link>(site.idle)) Close(link);
    for (const Link& link : std::vector<Link>(site.opening)) Close(link);
  }
  std::vector<Link> busy;
  for (const auto& [ticket, link] : busy_) busy.push_back(link);
  for (const Link& link : busy) Close(link);
}

}  // namespace tulipyoke::net
