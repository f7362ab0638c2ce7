#include "src/listener/client_listener.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <functional>
#include <stdexcept>
#include <system_error>
#include <tuple>
#include <utility>

#include "src/listener/arrival_times.hpp"
#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

constexpr std::size_t kReadSize = 8192;
// Bytes read ahead of an answer that is still awaited; beyond them the client's sending is held up.
constexpr std::size_t kReadAhead = 65536;
// Answers that a client has not read yet; beyond them its next queries wait.
constexpr std::size_t kMostUnsent = std::size_t{16} << 10;
// Answers of one client that wait for an earlier one; beyond them its next queries wait.
constexpr std::size_t kMostRetained = std::size_t{64} << 10;
// Of the open requests all clients may have, the share from which on none gets a further one beside its
// first.
constexpr std::size_t kPipelinedShare = 2;
// And one that came to a router out of service: another one takes it at once.
constexpr Micros kElsewhereRetry = 20'000;
// A client that takes nothing of what is sent to it for so long is given up.
constexpr Micros kStuck = 30'000'000;
// A client that has sent nothing for so long since it connected, or of what it has begun, is told so and let
// go. Two seconds are lawful.
constexpr Micros kFirstRequestWithin = 2'600'000;
// So is one that goes on sending, but is not through with one message by then; and one for whose large
// statement there was no room for so long.
constexpr Micros kLongestMessage = 30'000'000;
constexpr Micros kLongestRoomWait = 10'000'000;
// So may be one that holds its connection without a request; sooner, the more of the places are taken.
constexpr Micros kIdleCrowded = 2'020'000;
constexpr Micros kIdle = 10'000'000;
// When places are short, a client that has asked nothing for so long since it connected goes before all
// others.
constexpr Micros kTimeToAsk = 200'000;
// So may one that has stopped half way through a message for so long, when nobody else is left to go.
constexpr Micros kStopsHalfWay = 700'000;
// One for which there is no place has so long to say what is refused it.
constexpr Micros kTimeToBeRefused = 200'000;
// Statements in a row that cannot be used, after which a client is taken for one that will never do better.
constexpr int kMostRefusals = 8;
// Messages of one client handled in a turn, so that a long queue of them does not hold up the others.
constexpr int kMessagesATurn = 16;
// Bytes thrown away of a client that goes on sending after its last words; then its sending is held up.
constexpr std::size_t kMostDiscarded = std::size_t{64} << 10;
// Idle clients closed for one new one at most: more than one, so that their number falls again after a rush.
constexpr int kShedAtOnce = 2;
// While there is room, only those go that were idle for so long: one that has just had its answer is about to
// be asked on again, and that request would cross its close.
constexpr Micros kSurelyIdle = 200'000;
// How many idle clients one look at all of them finds, and how long it is until the next one where there are
// none.
constexpr std::size_t kShedBatch = 32;
constexpr Micros kLookPause = 5'000;
// Clients beyond the limit that are still being told so; any more are told and closed in one go.
constexpr std::size_t kMostTurnedAway = 16;
constexpr std::string_view kTooMany = "too many connections";
constexpr std::string_view kSimpleOnly = "only simple queries are served";
constexpr auto kAcceptPause = std::chrono::milliseconds(20);
constexpr auto kSweepEvery = std::chrono::milliseconds(100);
// No attempt may begin 0.1 s after its client's close: where nothing is read, that is looked for twice in
// this time.
constexpr auto kDeparturesEvery = std::chrono::milliseconds(50);
// How long a client may take to read the last words to it and close.
constexpr Micros kLinger = 1'000'000;
// And how long a process that ends waits for that, so that its successor can begin.
constexpr Micros kLastWords = 100'000;

std::string ReadyMessage() {
  std::string message;
  pg::AppendReadyForQuery(message);
  return message;
}
std::string EmptyMessage() {
  std::string message;
  pg::AppendMessage(message, 'I', {});
  return message;
}
std::string ErrorMessage(std::string_view code, std::string_view text, std::string_view detail = {}) {
  std::string message;
  pg::AppendError(message, "ERROR", code, text, detail);
  return message;
}

std::uint64_t KeyOf(std::string_view text) {
  if (text.empty()) return 0;
  return std::max<std::uint64_t>(1, std::hash<std::string_view>{}(text));
}

}  // namespace

// The answer to one message or to several in a row, in its place in the order in which it is to be sent.
struct ClientListener::Reply {
  RequestId request = 0;                     // that is still open; 0: the answer is complete
  std::string open_id;                       // what the client calls the request
  std::uint64_t written_key = 0;             // the session that it writes; 0: none
  std::shared_ptr<ResponseStream> transfer;  // the value that is being passed on
  bool transfer_begun = false;
  bool ends_connection = false;  // nothing follows it
  std::size_t carried = 0;       // bytes of its statement
  std::string bytes;

  bool open() const { return request != 0; }
};

struct ClientListener::Client {
  explicit Client(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

  asio::ip::tcp::socket socket;
  pg::MessageReader reader{true, pg::kMaxStatementSize};
  StatementBudget::Room room;  // for the large statement that is being read
  bool awaits_room = false;
  bool started = false, reading = false, writing = false, skipping = false;
  bool ending = false;  // nothing more is read as messages: the last words are on their way
  bool finished = false, closed = false;
  bool queued = false;  // the rest of its messages waits for the next turn
  // Answers that are not on their way yet, in the order of the messages; the first one's request is open.
  std::deque<Reply> replies;
  std::size_t open_requests = 0;
  ArrivalTimes arrivals;    // of the bytes that wait in the reader
  Micros arrived = 0;       // when the last byte of the message that is being handled came
  bool last_words = false;  // the last of `replies` ends the connection: nothing more is read as messages
  int answered = 0;
  int refusals = 0;       // statements in a row that could not be used
  bool no_place = false;  // it is turned away, once it has said for what
  bool asked = false;     // it has sent something whole since it started
  std::size_t discarded = 0;
  Micros connected = 0, last_active = 0, ending_since = 0;
  Micros heard = 0;          // when it connected, or its startup was whole
  Micros message_since = 0;  // when what is not whole yet began to come
  // Its parts of the sums over all clients.
  std::size_t counted = 0, retained = 0;
  std::string out, on_the_way;
  std::array<char, kReadSize> in{};

  std::size_t unsent() const { return out.size() + on_the_way.size(); }
  bool waits() const { return !replies.empty(); }
  Reply* Find(RequestId request) {
    const auto it = std::find_if(replies.begin(), replies.end(),
                                 [&](const Reply& reply) { return reply.request == request; });
    return it == replies.end() ? nullptr : &*it;
  }
};

ClientListener::ClientListener(asio::io_context& io, LoopClock& clock, Dispatcher& dispatcher,
                               const ServingState& serving_state, const ListenerOptions& options)
    : io_(io),
      clock_(clock),
      dispatcher_(dispatcher),
      serving_state_(serving_state),
      options_(options),
      acceptor_(io),
      accept_pause_(io),
      sweep_(io),
      departures_(io),
      budget_(options.limits.large_statements) {
  budget_.OnRelease([this] {
    if (std::exchange(room_posted_, true)) return;
    asio::post(io_, [this] { OnRoom(); });
  });
  try {
    if (options.accept_fd >= 0) {
      // Programs that this one may start have no business with it. It is never shut down: others share it.
      ::fcntl(options.accept_fd, F_SETFD, FD_CLOEXEC);
      acceptor_.assign(options.listen.protocol(), options.accept_fd);
      acceptor_.local_endpoint();
    } else {
      acceptor_.open(options.listen.protocol());
      acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      acceptor_.bind(options.listen);
      acceptor_.listen(asio::socket_base::max_listen_connections);
    }
    acceptor_.non_blocking(true);
  } catch (const std::system_error& error) {
    throw std::runtime_error("cannot listen on port " + std::to_string(options.listen.port()) + " of " +
                             options.listen.address().to_string() + ": " + error.code().message());
  }
  const Settings& settings = dispatcher.settings();
  for (const ClassSettings& c : settings.classes)
    classes_.try_emplace(c.name, static_cast<int>(classes_.size()));
  for (const TenantSettings& t : settings.tenants)
    tenants_.try_emplace(t.name, static_cast<int>(tenants_.size()));
  ArmSweep();
  LookForDepartures();
}

ClientListener::~ClientListener() = default;

void ClientListener::StartAccepting() {
  if (accepting_) return;
  accepting_ = true;
  Accept();
}

void ClientListener::PauseAccepting() {
  accepting_ = false;
  std::error_code ignored;
  accept_pause_.Cancel();
  acceptor_.cancel(ignored);
}

void ClientListener::Resize(const ListenerLimits& limits) {
  options_.limits = limits;
  budget_.Resize(limits.large_statements);
  // Between two handlers: what another process tells is read in the middle of a request, whose client looks
  // idle until it has been handed in, and would be closed with it.
  asio::post(io_, [this] {
    while (clients_.size() > options_.limits.most_clients && ShedIdle()) {
    }
  });
}

void ClientListener::Accept() {
  acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
    if (!error) Admit(std::move(socket));
    if (!accepting_ || error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) return Accept();
    // Out of descriptors or memory: make room and try again shortly.
    ++counters_.accept_errors;
    const bool gone_already = error == asio::error::connection_aborted;
    if (!gone_already && !ShedIdle()) {
      LogWarning("accept_failed", "cannot accept a client: " + error.message(), {{"why", error.message()}});
    }
    accept_pause_.ExpireAfter(kAcceptPause, [this] { Accept(); });
  });
}

void ClientListener::Admit(asio::ip::tcp::socket socket) {
  ++counters_.accepted;
  std::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  // Clients may hold but a part of the descriptors for their requests. Where each asks on a connection of its
  // own and keeps it, those that are idle must go before that part is used up, or nobody can ask any more.
  for (int shed = 0; shed < kShedAtOnce && clients_.size() >= options_.limits.kept_clients; ++shed) {
    const bool urgent = clients_.size() >= options_.limits.kept_clients + options_.limits.kept_clients / 8;
    if (!ShedIdle(urgent ? 0 : kSurelyIdle)) break;
  }
  const bool room = clients_.size() < options_.limits.most_clients || ShedIdle();
  if (!room && clients_.size() >= options_.limits.most_clients + kMostTurnedAway) {
    ++counters_.turned_away;
    std::string out;
    pg::AppendError(out, "FATAL", "53300", kTooMany);
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(out), ignored);
    return;
  }
  const auto client = std::make_shared<Client>(std::move(socket));
  client->connected = client->heard = client->last_active = client->message_since = clock_.Now();
  clients_.insert(client);
  client->no_place = !room;
  if (!room) ++counters_.turned_away;
  Read(client);
}

void ClientListener::Read(const ClientPtr& client) {
  if (client->reading || client->closed) return;
  client->reading = true;
  client->socket.async_read_some(asio::buffer(client->in),
                                 [this, client](std::error_code error, std::size_t size) {
                                   client->reading = false;
                                   if (client->closed) return;
                                   if (error) return Close(client);
                                   if (client->ending || client->last_words) {
                                     // Only its close is awaited; one that sends on is not read for ever.
                                     client->discarded += size;
                                     if (client->discarded < kMostDiscarded) Read(client);
                                     return;
                                   }
                                   client->last_active = clock_.Now();
                                   if (client->reader.buffered() == 0) client->message_since = clock_.Now();
                                   client->reader.Feed(std::string_view(client->in.data(), size));
                                   client->arrivals.Add(size, clock_.Now());
                                   Process(client);
                                 });
}

bool ClientListener::MayTakeMore(const Client& client) const {
  if (client.ending || client.closed || client.last_words || client.unsent() >= kMostUnsent) return false;
  if (!client.waits()) return true;
  // Beside its first request it may have further ones, as long as that leaves enough for everybody else.
  return client.open_requests < options_.limits.most_pipelined && client.retained < kMostRetained &&
         retained_ < options_.limits.most_buffered &&
         kPipelinedShare * asking_.size() < options_.limits.most_open;
}

void ClientListener::Process(const ClientPtr& client) {
  if (client->queued || client->closed) return;
  Flush(client);
  for (int handled = 0; MayTakeMore(*client); ++handled) {
    if (handled == kMessagesATurn) {
      ProcessLater(client);
      break;
    }
    const std::size_t before = client->reader.buffered();
    const std::optional<pg::Message> message = client->reader.Next();
    if (!message) break;
    client->arrived = client->arrivals.Take(before - client->reader.buffered());
    client->message_since = clock_.Now();
    if (message->type == '\0' && !client->started) {
      OnStartup(client, message->body);
    } else {
      OnMessage(client, message->type, message->body);
    }
  }
  if (const std::optional<pg::ProtocolError> error = client->reader.error()) OnProtocolError(client, *error);
  if (client->closed) return;
  const bool held_back = client->unsent() >= kMostUnsent;
  const bool has_room = MakeRoom(client);
  const std::size_t buffered = client->ending || client->room ? 0 : client->reader.buffered();
  buffered_ += buffered - client->counted;
  client->counted = buffered;
  const bool crowded = buffered_ > options_.limits.most_buffered && buffered > kReadSize;
  if (crowded && !client->waits() && !client->ending) {
    ++counters_.turned_away;
    EndWith(client, "53300", "too much is waiting to be read");
  }
  // Nothing but its answer stands before its close, so that no next request crosses it.
  if (serving_state_.draining() && client->asked && Idle(*client)) return Finish(client);
  Write(client);
  if (client->closed) return;
  // What it was not asked for while answers were unsent.
  if (held_back && client->unsent() < kMostUnsent && client->reader.buffered() > 0) ProcessLater(client);
  if (!has_room) return;
  const bool held_up = client->unsent() >= kMostUnsent || crowded || client->reader.buffered() >= kReadAhead;
  // A whole message may be larger than what is read ahead.
  if (!held_up || (!client->waits() && client->unsent() < kMostUnsent)) Read(client);
}

void ClientListener::Respond(Client& client, std::string_view bytes) {
  if (!client.waits()) {
    client.out += bytes;
    return;
  }
  if (client.replies.back().open()) AddReply(client);
  client.replies.back().bytes += bytes;
  Retain(client, bytes.size());
}

ClientListener::Reply& ClientListener::AddReply(Client& client) {
  Retain(client, sizeof(Reply));
  return client.replies.emplace_back();
}

void ClientListener::Retain(Client& client, std::size_t size) {
  client.retained += size;
  retained_ += size;
}

void ClientListener::DropFirstReply(Client& client) {
  const std::size_t size = sizeof(Reply) + client.replies.front().bytes.size();
  client.retained -= size;
  retained_ -= size;
  client.replies.pop_front();
}

void ClientListener::Flush(const ClientPtr& client) {
  while (!client->closed && client->waits()) {
    Reply& first = client->replies.front();
    if (first.transfer) {
      if (!PassOn(client)) return;
      continue;
    }
    if (first.open()) return;
    client->out += first.bytes;
    if (first.ends_connection) {
      client->ending = true;
      client->ending_since = clock_.Now();
    }
    DropFirstReply(*client);
  }
}

std::optional<RequestId> ClientListener::PrecedingWrite(const Client& client, std::uint64_t key) {
  if (key == 0) return std::nullopt;
  const auto writes = [&](const Reply& reply) { return reply.open() && reply.written_key == key; };
  const auto last = std::find_if(client.replies.rbegin(), client.replies.rend(), writes);
  if (last == client.replies.rend()) return std::nullopt;
  return last->request;
}

bool ClientListener::MakeRoom(const ClientPtr& client) {
  const std::size_t wanted =
      !client->waits() && !client->ending ? client->reader.PendingMessageSize().value_or(0) : 0;
  if (wanted <= pg::kMaxMessageSize) {
    client->room.reset();
    return true;
  }
  if (client->room) return true;
  // Whoever waits longer goes first.
  if (awaiting_room_.empty() || client->awaits_room) client->room = budget_.Reserve(wanted);
  if (client->room) {
    client->reader.Reserve(wanted);
  } else if (!std::exchange(client->awaits_room, true)) {
    awaiting_room_.push_back(client);
  }
  return client->room != nullptr;
}

void ClientListener::OnRoom() {
  room_posted_ = false;
  while (!awaiting_room_.empty()) {
    const ClientPtr client = awaiting_room_.front().lock();
    if (client && !client->closed && !client->ending) {
      if (!MakeRoom(client)) return;
      client->last_active = clock_.Now();
      Read(client);
    }
    if (client) client->awaits_room = false;
    awaiting_room_.pop_front();
  }
}

void ClientListener::ProcessLater(const ClientPtr& client) {
  if (client->queued) return;
  client->queued = true;
  asio::post(io_, [this, client] {
    client->queued = false;
    if (!client->closed) Process(client);
  });
}

void ClientListener::OnStartup(const ClientPtr& client, std::string_view body) {
  const pg::Result<pg::StartupKind> kind = pg::ParseStartup(body);
  if (!kind) return OnProtocolError(client, kind.error());
  switch (*kind) {
    case pg::StartupKind::kEncryption:
      client->out += 'N';
      return;
    case pg::StartupKind::kCancel:
      return Close(client);
    case pg::StartupKind::kSession:
      break;
  }
  client->started = true;
  client->heard = clock_.Now();
  client->reader.EndStartup();
  pg::AppendAuthenticationOk(client->out);
  pg::AppendParameterStatus(client->out, "server_version", "15.0");
  pg::AppendParameterStatus(client->out, "server_encoding", "UTF8");
  pg::AppendParameterStatus(client->out, "client_encoding", "UTF8");
  pg::AppendParameterStatus(client->out, "standard_conforming_strings", "on");
  pg::AppendReadyForQuery(client->out);
}

void ClientListener::OnMessage(const ClientPtr& client, char type, std::string_view body) {
  client->asked = true;
  switch (type) {
    case 'Q': {
      client->skipping = false;
      const pg::Result<std::string_view> text = pg::ParseQuery(body);
      if (!text) return OnProtocolError(client, text.error());
      return OnQuery(client, *text);
    }
    case 'X':
      return Terminate(client);
    case 'S':  // Sync
      client->skipping = false;
      return Respond(*client, ReadyMessage());
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'H':
      // One complaint, then silence until the client's Sync, as the protocol has it.
      if (!client->skipping) Respond(*client, ErrorMessage("0A000", kSimpleOnly));
      client->skipping = true;
      return;
    case 'F':
      return Respond(*client, ErrorMessage("0A000", kSimpleOnly) + ReadyMessage());
    default:
      return OnProtocolError(client, pg::ProtocolError::kUnknownRequestType);
  }
}

void ClientListener::OnQuery(const ClientPtr& client, std::string_view text) {
  const auto done = [&](std::string_view tag) {
    std::string answer;
    pg::AppendMessage(answer, 'C', std::string(tag) + '\0');
    Respond(*client, answer + ReadyMessage());
  };
  switch (pg::ParseSessionCommand(text)) {
    case pg::SessionCommand::kEmpty:
      if (!serving_state_.router_accepts_clients()) return EndWith(client, "57P03", "out of service");
      return Respond(*client, EmptyMessage() + ReadyMessage());
    case pg::SessionCommand::kSet:
      return done("SET");
    case pg::SessionCommand::kReset:
      return done("RESET");
    case pg::SessionCommand::kDiscard:
      return done("DISCARD ALL");
    case pg::SessionCommand::kNone:
      break;
  }
  const std::optional<pg::Statement> statement = pg::ParseStatement(text);
  const auto found = statement ? classes_.find(std::string(statement->class_name)) : classes_.end();
  const char* reason = WhyNot(statement ? &*statement : nullptr, found);
  const int class_index = found == classes_.end() ? -1 : found->second;
  if (reason) {
    ++counters_.malformed;
    if (class_index >= 0) dispatcher_.CountLocalResponse(class_index, FailedResponse{});
    if (++client->refusals >= kMostRefusals) return EndWith(client, "08P01", reason);
    return Respond(*client, ErrorMessage("42601", reason) + ReadyMessage());
  }
  client->refusals = 0;
  if (client->no_place) {
    dispatcher_.CountLocalResponse(class_index, RejectedResponse{});
    return EndWith(client, "53300", kTooMany, ReturnIn(kNoDeadline));
  }
  if (serving_state_.Rejects(clock_.Now())) {
    dispatcher_.CountLocalResponse(class_index, RejectedResponse{});
    return EndWith(client, "57P03", "out of service: trying again is harmless", ReturnIn(kElsewhereRetry));
  }
  // Where all that clients may hold is busy, nobody can even ask, in this process or the one that takes over.
  const bool crowded = asking_.size() >= options_.limits.most_open;
  if (crowded || (!client->room && carried_ + text.size() > options_.limits.most_buffered)) {
    ++counters_.turned_away;
    dispatcher_.CountLocalResponse(class_index, RejectedResponse{});
    return Respond(*client,
                   ErrorMessage("53300", "too much is under way", ReturnIn(kNoDeadline)) + ReadyMessage());
  }
  // It may have come long ago, behind an answer or for want of room, and its client has gone since.
  if (HasLeft(*client)) return Close(client);
  const Freshness freshness = dispatcher_.settings().classes[static_cast<std::size_t>(class_index)].freshness;
  const auto tenant = tenants_.find(std::string(statement->tenant));
  ClientRequest request;
  request.class_index = class_index;
  request.tenant = tenant == tenants_.end() ? 0 : tenant->second;
  request.group = statement->cluster;
  if (freshness == Freshness::kSession || freshness == Freshness::kWrite) request.key = KeyOf(statement->key);
  request.wait = statement->timeout_ms * 1000;
  request.arrived = client->arrived;
  request.preceding_write = PrecedingWrite(*client, request.key);
  if (freshness == Freshness::kSession) request.after_unix_ms = statement->read_after_ms;
  request.repeat = statement->is_retry;
  Reply& reply = AddReply(*client);
  reply.open_id = statement->request_id;
  open_ids_.insert(reply.open_id);
  if (freshness == Freshness::kWrite) reply.written_key = request.key;
  if (!client->room) carried_ += reply.carried = text.size();
  // From here on the statement's text is the payload's.
  request.payload = std::make_shared<const RequestPayload>(
      RequestPayload{client->reader.TakeBody(text), statement->timeout_offset, statement->timeout_size,
                     std::move(client->room)});
  options_.before_request();
  reply.request = dispatcher_.Submit(clock_.Now(), request);
  asking_[reply.request] = client;
  ++client->open_requests;
}

void ClientListener::Terminate(const ClientPtr& client) {
  if (!client->waits()) return Close(client);
  // It is still owed what it asked for before.
  AddReply(*client).ends_connection = true;
  client->last_words = true;
}

bool ClientListener::HasLeft(Client& client) {
  pollfd look{client.socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// When a refused client may come back, where the settings let it be told: no later than it heeds.
std::string ClientListener::ReturnIn(Micros time) const {
  const Settings& settings = dispatcher_.settings();
  const Micros told = std::min(settings.max_retry_after, time);
  return settings.retry_after && told > 0 ? std::to_string(told / 1000) : "";
}

// Why a statement is not taken as a request; null: it is.
const char* ClientListener::WhyNot(const pg::Statement* statement,
                                   const ClassNames::const_iterator& found) const {
  if (!statement)
    return "the statement has no form that is served here, or lacks the comment that says what it is";
  if (found == classes_.end()) return "no class of requests has this name";
  const ClassSettings& c = dispatcher_.settings().classes[static_cast<std::size_t>(found->second)];
  if (statement->is_write != (c.freshness == Freshness::kWrite))
    return "the class does not fit the statement";
  if (c.idempotency == Idempotency::kWithKey && statement->idempotency_key.empty())
    return "the class wants a key for repeats";
  // The request that has this id is another's: it goes on untouched.
  if (open_ids_.contains(std::string(statement->request_id))) return "a request with this id is still open";
  return nullptr;
}

void ClientListener::Deliver(RequestId id, const Response& answer) {
  const auto it = asking_.find(id);
  if (it == asking_.end()) return;
  const ClientPtr client = it->second;
  Reply& reply = *client->Find(id);
  client->last_active = clock_.Now();
  if (const auto* begun = std::get_if<StreamingResponse>(&answer)) {
    reply.transfer = begun->stream;
    carried_ -= std::exchange(reply.carried, 0);
    begun->stream->on_update = [this, weak = std::weak_ptr(client)] {
      const ClientPtr waiting = weak.lock();
      if (waiting && PassOn(waiting)) Process(waiting);
    };
    if (PassOn(client)) Process(client);
    return;
  }
  EndRequest(*client, reply);
  if (const auto* served = std::get_if<ServedResponse>(&answer)) {
    pg::AppendMessage(reply.bytes, 'T', served->result.row_description);
    pg::AppendDataRow(reply.bytes, served->result.value);
    pg::AppendMessage(reply.bytes, 'C', served->result.command_tag);
  } else if (const auto* refused = std::get_if<RejectedResponse>(&answer)) {
    const std::string when =
        refused->retry_after > 0 ? std::to_string((refused->retry_after + 999) / 1000) : "";
    reply.bytes = ErrorMessage("53300", "refused: trying again is harmless", when);
  } else {
    reply.bytes = ErrorMessage("58000", "failed: the statement may have taken effect");
  }
  reply.bytes += ReadyMessage();
  Retain(*client, reply.bytes.size());
  Process(client);
}

bool ClientListener::PassOn(const ClientPtr& client) {
  if (client->closed || !client->waits() || !client->replies.front().transfer) return false;
  Reply& reply = client->replies.front();
  const std::shared_ptr<ResponseStream> transfer = reply.transfer;
  if (!std::exchange(reply.transfer_begun, true)) {
    pg::AppendMessage(client->out, 'T', transfer->row_description());
    pg::AppendRowHeader(client->out, transfer->size());
  }
  while (!client->writing && !client->closed) {
    if (!client->out.empty()) {
      Write(client);
    } else if (!transfer->empty()) {
      client->out = transfer->Read();
    } else {
      break;
    }
  }
  if (client->closed || client->writing || transfer->state() == ResponseStream::State::kOpen) return false;
  const RequestId request = reply.request;
  EndRequest(*client, reply);
  DropFirstReply(*client);
  const bool whole = transfer->state() == ResponseStream::State::kComplete;
  dispatcher_.StreamDelivered(request);
  if (!whole) {
    // A part of the value is out: only the close can say that the rest will not come.
    Close(client);
    return false;
  }
  pg::AppendMessage(client->out, 'C', transfer->command_tag());
  pg::AppendReadyForQuery(client->out);
  return true;
}

void ClientListener::EndRequest(Client& client, Reply& reply) {
  asking_.erase(std::exchange(reply.request, 0));
  --client.open_requests;
  ++client.answered;
  client.message_since = clock_.Now();
  open_ids_.erase(std::exchange(reply.open_id, {}));
  carried_ -= std::exchange(reply.carried, 0);
}

// At once, as far as the socket takes it. The last words leave in one piece with the end of the stream: a
// client that had them first could ask again in between.
void ClientListener::Write(const ClientPtr& client) {
  if (client->writing || client->closed) return;
  if (!client->out.empty()) {
    const int flags = MSG_DONTWAIT | MSG_NOSIGNAL | (client->ending ? MSG_MORE : 0);
    const ssize_t sent =
        ::send(client->socket.native_handle(), client->out.data(), client->out.size(), flags);
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) return Close(client);
    if (sent > 0) client->last_active = clock_.Now();
    client->out.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
  }
  if (client->out.empty()) {
    if (client->ending && !client->finished) Finish(client);
    return;
  }
  client->writing = true;
  client->on_the_way.swap(client->out);
  client->out.clear();
  asio::async_write(client->socket, asio::buffer(client->on_the_way),
                    [this, client](std::error_code error, std::size_t) {
                      client->writing = false;
                      if (client->closed) return;
                      if (error) return Close(client);
                      client->on_the_way.clear();
                      client->on_the_way.shrink_to_fit();
                      client->last_active = clock_.Now();
                      if (client->waits() && client->replies.front().transfer && !PassOn(client)) return;
                      Process(client);
                    });
}

void ClientListener::OnProtocolError(const ClientPtr& client, pg::ProtocolError error) {
  ++counters_.malformed;
  EndWith(client, "08P01", pg::ToText(error));
}

void ClientListener::EndWith(const ClientPtr& client, std::string_view code, std::string_view message,
                             std::string_view detail) {
  if (client->ending || client->closed || client->last_words) return;
  client->room.reset();
  client->reader = pg::MessageReader(false);  // what it has sent is not kept while it takes its leave
  client->arrivals = {};
  std::string last_words;
  pg::AppendError(last_words, "FATAL", code, message, detail);
  if (client->waits()) {
    // Behind the answers that it is still owed.
    Respond(*client, last_words);
    client->replies.back().ends_connection = true;
    client->last_words = true;
    return;
  }
  client->ending = true;
  client->ending_since = clock_.Now();
  client->out += last_words;
  Write(client);
}

// Sends the end of the stream and waits for the client's: closing at once could destroy what it has not read.
void ClientListener::Finish(const ClientPtr& client) {
  if (!client->ending) client->ending_since = clock_.Now();
  client->ending = true;
  if (client->writing || !client->out.empty()) return Write(client);
  client->finished = true;
  std::error_code ignored;
  client->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Read(client);
}

void ClientListener::Close(const ClientPtr& client) {
  if (client->closed) return;
  client->closed = true;
  std::error_code ignored;
  client->socket.close(ignored);
  buffered_ -= std::exchange(client->counted, 0);
  client->room.reset();
  retained_ -= std::exchange(client->retained, 0);
  // The last first: what waits for an earlier one must not be begun as that ends.
  for (auto reply = client->replies.rbegin(); reply != client->replies.rend(); ++reply) {
    if (!reply->open()) continue;
    const RequestId request = reply->request;
    EndRequest(*client, *reply);
    dispatcher_.ClientDisconnected(clock_.Now(), request);
  }
  client->replies.clear();
  clients_.erase(ClientPtr(client));
}

// Those that never asked anything though they had time to go first, then those that asked once, since many
// hold their connection for good after that; then the rest, whoever has been idle longest first. Last of all
// goes one that has only just connected and is about to ask: it would come back, and so would the one for
// which that one is shed.
bool ClientListener::ShedIdle(Micros least_idle) {
  const Micros now = clock_.Now();
  for (bool looked = false;; looked = true) {
    while (!to_shed_.empty()) {
      const ClientPtr client = to_shed_.front().client.lock();
      const Micros last_active = to_shed_.front().last_active;
      // It may have asked since it was looked at.
      std::error_code error;
      const bool same = client && client->last_active == last_active && !client->waits() &&
                        !client->writing && !client->ending && !client->closed &&
                        client->socket.available(error) == 0;
      if (same && now - last_active < least_idle) return false;
      to_shed_.pop_front();
      if (!same) continue;
      ++counters_.shed;
      Close(client);
      return true;
    }
    if (looked || now < next_look_) return false;
    LookForIdle();
  }
}

// A look at all clients serves many that come: in a crowd there is no time for one each.
void ClientListener::LookForIdle() {
  const Micros now = clock_.Now();
  using Ranked = std::tuple<int, Micros, ClientPtr>;
  std::vector<Ranked> idle;
  for (const ClientPtr& client : clients_) {
    if (client->waits() || client->writing || client->ending || client->awaits_room) continue;
    const bool partial = client->reader.buffered() > 0;
    if (partial && now - client->last_active < kStopsHalfWay) continue;
    const bool mute = !client->asked && now - client->connected > kTimeToAsk;
    const int order = partial ? 3 : mute ? 0 : client->answered == 1 ? 1 : client->asked ? 2 : 4;
    idle.emplace_back(order, client->last_active, client);
  }
  const std::size_t most = std::min(idle.size(), kShedBatch);
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(most), idle.end());
  to_shed_.clear();
  for (std::size_t i = 0; i < most; ++i)
    to_shed_.push_back({std::get<ClientPtr>(idle[i]), std::get<Micros>(idle[i])});
  // While some were found each look serves as many; none may be turned away for want of another.
  next_look_ = idle.empty() ? now + kLookPause : now;
}

bool ClientListener::Idle(const Client& client) const {
  if (client.waits() || client.ending || client.closed || client.queued) return false;
  // What has arrived and was not read yet is a request like any other.
  std::error_code error;
  return client.reader.buffered() == 0 && client.socket.available(error) == 0;
}

// Whether somebody is owed anything: an answer, one that is not all sent, or the time to end what it has
// begun.
bool ClientListener::Owes(Micros patience) const {
  const Micros now = clock_.Now();
  return std::any_of(clients_.begin(), clients_.end(), [&](const ClientPtr& client) {
    if (client->waits() || client->unsent() > 0 || client->queued) return true;
    if (client->ending) return now - client->ending_since < kLastWords;
    std::error_code error;
    return now - client->connected < patience || client->socket.available(error) > 0 ||
           (client->reader.buffered() > 0 && now - client->message_since < patience);
  });
}

void ClientListener::StopAccepting() {
  accepting_ = false;
  while (acceptor_.is_open()) {
    std::error_code error;
    asio::ip::tcp::socket socket = acceptor_.accept(error);
    if (error) break;
    Admit(std::move(socket));
  }
  std::error_code ignored;
  accept_pause_.Cancel();
  acceptor_.close(ignored);
}

// What is still on its way is refused before it is whole: where the process only ended, the last byte of a
// statement could cross that, and its client would have no answer.
void ClientListener::Dismiss() {
  const std::unordered_set<ClientPtr> clients = clients_;
  for (const ClientPtr& client : clients) {
    if (!client->waits()) EndWith(client, "57P03", "out of service: trying again is harmless");
  }
}

void ClientListener::ArmSweep() {
  sweep_.ExpireAfter(kSweepEvery, [this] {
    Sweep();
    ArmSweep();
  });
}

// Nothing is read of one that has sent far ahead or waits for room, so that its end is not come upon.
void ClientListener::LookForDepartures() {
  departures_.ExpireAfter(kDeparturesEvery, [this] { LookForDepartures(); });
  const std::unordered_set<ClientPtr> clients = clients_;
  for (const ClientPtr& client : clients) {
    if (!client->ending && !client->reading && HasLeft(*client)) Close(client);
  }
}

void ClientListener::Sweep() {
  const Micros patience = 3 * clients_.size() > options_.limits.most_clients ? kIdleCrowded : kIdle;
  const std::unordered_set<ClientPtr> clients = clients_;
  for (const ClientPtr& client : clients) {
    const Micros now = clock_.Now();
    const bool lingers = client->ending && now - client->ending_since > kLinger;
    const bool stuck = client->writing && now - client->last_active > kStuck;
    if (lingers || stuck) {
      Close(client);
      continue;
    }
    if (client->ending || client->waits() || client->queued || client->writing) continue;
    // One that has only just connected is about to ask.
    const bool new_here = !client->asked && now - client->connected <= kTimeToAsk;
    if (serving_state_.ClosesIdle(now, client->last_active) && !new_here && Idle(*client)) {
      Finish(client);
      continue;
    }
    // Silence, or half a message: whoever means to ask has done so by now.
    const bool partial = client->reader.buffered() > 0;
    if (client->no_place && now - client->connected > kTimeToBeRefused) {
      EndWith(client, "53300", kTooMany);
      continue;
    }
    if (const char* reason = TooLate(*client)) {
      ++counters_.silent;
      EndWith(client, client->awaits_room ? "53300" : "08P01", reason);
      continue;
    }
    std::error_code ignored;
    if (partial || now - client->last_active <= patience || client->socket.available(ignored) > 0) continue;
    // It has long read its last answer: nothing is lost by not waiting for its own close, which may never
    // come.
    ++counters_.idle;
    Close(client);
  }
}

const char* ClientListener::TooLate(const Client& client) const {
  const Micros now = clock_.Now();
  const bool partial = client.reader.buffered() > 0;
  if (client.awaits_room)
    return now - client.last_active > kLongestRoomWait ? "no room for so much" : nullptr;
  if (!partial && client.asked) return nullptr;
  // Of a message whose head is there each piece counts, before that only the whole head.
  const bool comes = partial && client.reader.PendingMessageSize().has_value();
  const Micros since = comes ? client.last_active : partial ? client.message_since : client.heard;
  const bool late =
      now - since > kFirstRequestWithin || (partial && now - client.message_since > kLongestMessage);
  return late ? "no whole message came in time" : nullptr;
}

void ClientListener::Stop() {
  std::error_code ignored;
  acceptor_.close(ignored);
  accept_pause_.Cancel();
  sweep_.Cancel();
  departures_.Cancel();
  const std::unordered_set<ClientPtr> clients = clients_;
  for (const ClientPtr& client : clients) Close(client);
}

}  // namespace tulipyoke::net
