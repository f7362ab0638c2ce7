#include "src/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace tulipyoke {
namespace {

constexpr std::array<const char*, kStatuses> kStatusNames = {
    "ok", "miss", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? 0 : static_cast<int>(it - names.begin());
}

bool NeverRan(Status status) {
  return status == Status::kMiss || status == Status::kFull || status == Status::kConnectFailed ||
         status == Status::kMoot;
}

// What the client calls its request.
std::string_view ClientRequestId(const RequestPayload* payload) {
  const std::string_view bytes = payload ? std::string_view(payload->bytes) : std::string_view();
  const std::size_t at = bytes.rfind("/* id=");
  if (at == std::string_view::npos) return "-";
  return bytes.substr(at + 6, bytes.find_first_of(", ", at + 6) - at - 6);
}

std::string NumberField(const char* name, std::int64_t value) {
  return std::string(" ") + name + "=" + std::to_string(value);
}

}  // namespace

std::string ToText(const DispatchCounters& c) {
  std::string text;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    text += (text.empty() ? "" : " ") + name + "=" + std::to_string(value);
  };
  add("taken", c.received);
  add("served", c.served);
  add("refused", c.rejected);
  add("failed", c.failed);
  add("overdue", c.overdue);
  add("left", c.disconnected);
  add("attempts", c.attempts);
  for (std::size_t i = 0; i < kStatuses; ++i)
    add(std::string("attempt_") + kStatusNames[i], c.attempt_outcomes[i]);
  add("probes", c.probes);
  for (std::size_t i = 0; i < kStatuses; ++i) {
    if (c.probe_outcomes[i]) add(std::string("probe_") + kStatusNames[i], c.probe_outcomes[i]);
  }
  add("lists", c.endpoint_lists);
  return text;
}

std::string ToText(const DispatchStatistics& statistics, char end) {
  std::string text;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    text += name + "=" + std::to_string(value) + end;
  };
  for (const ClassStatistics& c : statistics.classes) {
    add("passed." + c.name, c.passed);
    add("dropped." + c.name, c.dropped);
    add("bad_gateway." + c.name, c.bad_gateway);
  }
  add("upstream_tries", statistics.upstream_attempts);
  add("in_progress", statistics.in_progress);
  add("known_readings_servers", statistics.known_servers);
  add("skipped_readings_servers", statistics.skipped_servers);
  return text;
}

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options)),
      router_(options_.settings, options_.seed),
      class_statistics_(options_.settings.classes.size()) {}

void Dispatcher::Start(Micros now, const EndpointList& known) {
  DeliverEvent(now, UpdateOf(known, ListKind::kCached));
}

RequestId Dispatcher::Submit(Micros now, const ClientRequest& request) {
  const RequestId id = next_request_++;
  const Micros deadline = std::max(now, std::min(now + request.wait, drain_deadline_));
  requests_[id] = {request.class_index, 0, deadline, request.key, request.payload, kNoDeadline};
  ++counters_.received;
  Trace(now, [&] {
    return "taken id=" + std::string(ClientRequestId(request.payload.get())) + NumberField("request", id) +
           " class=" + options_.settings.classes[static_cast<std::size_t>(request.class_index)].name +
           NumberField("group", request.group) + NumberField("wait", deadline - now);
  });
  // Should the module ever leave a request unanswered, the client still gets its answer inside the slack.
  Schedule(deadline + options_.settings.answer_slack / 2, TimerKind::kOverdue, id);
  RequestArrived event;
  event.id = id;
  event.class_index = request.class_index;
  event.tenant = request.tenant;
  event.group = request.group;
  event.key = request.key;
  event.remaining = deadline - now;
  event.repeat = request.repeat;
  if (request.after_unix_ms) {
    event.wrote_ms_ago =
        std::max(0.001, static_cast<double>(now) / 1e3 - static_cast<double>(*request.after_unix_ms));
  }
  DeliverEvent(now, event);
  return id;
}

void Dispatcher::ClientDisconnected(Micros now, RequestId id) {
  if (const auto stream = streams_.find(id); stream != streams_.end()) {
    ++counters_.disconnected;
    if (const OperationId operation_id = stream->second.operation_id; operation_id != 0) {
      open_streams_.erase(operation_id);
      commands_.push_back(CancelOperation{operation_id});
    }
    streams_.erase(stream);
    return;
  }
  if (requests_.erase(id) == 0) return;
  ++counters_.disconnected;
  DeliverEvent(now, RequestGone{id});
  CancelUnsent(now, id);
}

// Nobody waits for that request any more. What still waits for a connection, or is being written, must not go
// out later on: a server begins nothing before its last byte, so that it never runs.
void Dispatcher::CancelUnsent(Micros now, RequestId id) {
  std::vector<OperationId> unsent;
  for (auto it = attempts_.lower_bound({id, 0}); it != attempts_.end() && it->first.first == id; ++it) {
    if (!operations_.at(it->second).written) unsent.push_back(it->second);
  }
  for (const OperationId operation_id : unsent) {
    const bool carried = std::erase_if(commands_, [&](const Command& command) {
                           const auto* start = std::get_if<StartAttempt>(&command);
                           return start && start->operation_id == operation_id;
                         }) == 0;
    if (carried) commands_.push_back(CancelOperation{operation_id});
    FinishOperation(now, operation_id, Outcome{.status = Status::kMoot});
  }
}

void Dispatcher::OperationWritten(OperationId operation_id) {
  const auto it = operations_.find(operation_id);
  if (it == operations_.end() || it->second.probe) return;
  it->second.written = true;
  ++written_attempts_;
}

DispatchStatistics Dispatcher::StatisticsAt(Micros now) const {
  DispatchStatistics statistics;
  for (std::size_t i = 0; i < class_statistics_.size(); ++i) {
    statistics.classes.push_back(class_statistics_[i]);
    statistics.classes.back().name = options_.settings.classes[i].name;
  }
  statistics.upstream_attempts = written_attempts_;
  statistics.in_progress = in_progress();
  statistics.known_servers = servers_.size();
  for (const auto& [id, known] : servers_)
    statistics.skipped_servers += router_.avoids(now, known.server) ? 1 : 0;
  return statistics;
}

void Dispatcher::OperationFinished(Micros now, OperationId operation_id, Outcome outcome) {
  const auto begun = open_streams_.find(operation_id);
  if (begun != open_streams_.end()) return FinishStream(now, begun->second, std::move(outcome));
  FinishOperation(now, operation_id, std::move(outcome));
}

std::shared_ptr<ResponseStream> Dispatcher::BeginStream(Micros now, OperationId operation_id,
                                                        const std::string& shape, std::size_t size) {
  const auto found = operations_.find(operation_id);
  if (found == operations_.end()) return nullptr;
  const Operation operation = found->second;
  const bool wanted = !operation.probe && requests_.erase(operation.request) > 0;
  if (wanted) {
    const auto transfer = std::make_shared<ResponseStream>(shape, size);
    streams_[operation.request] = {operation_id, operation, transfer};
    open_streams_[operation_id] = operation.request;
    commands_.push_back(SendResponse{operation.request, StreamingResponse{transfer}});
  }
  // Its first bytes are what it is timed by. A write's commit, told behind the value, is taken to be of this
  // moment: rounding up is safe.
  FinishOperation(now, operation_id, Outcome{});
  return wanted ? streams_.at(operation.request).transfer : nullptr;
}

void Dispatcher::FinishStream(Micros now, RequestId id, Outcome outcome) {
  Stream& stream = streams_.at(id);
  open_streams_.erase(std::exchange(stream.operation_id, 0));
  const Operation operation = stream.operation;
  const std::shared_ptr<ResponseStream> transfer = stream.transfer;
  const bool ok = outcome.status == Status::kOk;
  const Freshness freshness =
      options_.settings.classes[static_cast<std::size_t>(operation.class_index)].freshness;
  const bool wrote = ok && freshness == Freshness::kWrite;
  const std::optional<std::int64_t> position = PositionMs(outcome, wrote);
  DeliverEvent(now, ServerShown{operation.server, outcome.role, now, wrote ? 0 : position.value_or(0)});
  if (replicates_) ReplicateOutcome(operation, outcome, wrote);
  // This may end the client's side as well, and with it what is known of the transfer here.
  if (ok) return transfer->Complete(std::move(outcome.result.command_tag));
  transfer->Abort();
}

void Dispatcher::StreamDelivered(RequestId id) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  const bool whole = it->second.transfer->state() == ResponseStream::State::kComplete;
  ++(whole ? counters_.served : counters_.failed);
  CountResponse(it->second.operation.class_index,
                whole ? Response(ServedResponse{}) : Response(FailedResponse{}));
  if (const OperationId operation_id = it->second.operation_id; operation_id != 0)
    open_streams_.erase(operation_id);
  streams_.erase(it);
}

void Dispatcher::UpdateEndpoints(Micros now, const EndpointList& listing) {
  ++counters_.endpoint_lists;
  Trace(now, [&] {
    std::string text = "heard" + NumberField("complete", listing.complete);
    for (const ListedServer& listed : listing.servers)
      text += " " + listed.id + NumberField("state", static_cast<int>(listed.state));
    return text;
  });
  DeliverEvent(now, UpdateOf(listing, listing.complete ? ListKind::kFull : ListKind::kDelta));
}

void Dispatcher::SetDrainDeadline(Micros when) {
  drain_deadline_ = when;
  // The module says how each ends: what was never sent is refused, so that its client may ask elsewhere.
  for (const auto& [id, request] : requests_) {
    if (request.deadline <= when) continue;
    Schedule(when, TimerKind::kModule, id);
    Schedule(when, TimerKind::kOverdue, id);
  }
}

void Dispatcher::Tick(Micros now) {
  while (!timers_.empty() && timers_.top().when <= now) {
    const TimerEntry due = timers_.top();
    timers_.pop();
    if (due.kind == TimerKind::kModule) {
      DeliverEvent(now, TimerFired{due.id});
    } else if (due.kind == TimerKind::kOperation) {
      if (!operations_.contains(due.id)) continue;
      commands_.push_back(CancelOperation{due.id});
      // What is still waiting for its connection, or has not gone out whole, has not run and never will.
      const Operation& late = operations_.at(due.id);
      const bool may_run = late.probe || late.written;
      FinishOperation(now, due.id, Outcome{.status = may_run ? Status::kTimeout : Status::kConnectFailed});
    } else if (requests_.contains(due.id)) {
      counters_.overdue += now > requests_.at(due.id).deadline ? 1 : 0;
      SendFinalResponse(now, due.id, FailedResponse{});
      DeliverEvent(now, RequestGone{due.id});
    }
  }
}

std::optional<Micros> Dispatcher::NextTimer() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.top().when;
}

// Events that arise while one is being handled wait for their turn, so that the module is never re-entered.
void Dispatcher::DeliverEvent(Micros now, Event event) {
  events_.push_back(std::move(event));
  if (delivering_) return;
  delivering_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    router_.handle(now, next, actions);
    for (const Action& action : actions) {
      std::visit([&](const auto& what) { Execute(now, what); }, action);
    }
  }
  delivering_ = false;
}

void Dispatcher::Schedule(Micros when, TimerKind kind, std::uint64_t id) {
  timers_.push({when, kind, next_sequence_++, id});
}

void Dispatcher::FinishOperation(Micros now, OperationId operation_id, Outcome outcome) {
  const auto it = operations_.find(operation_id);
  if (it == operations_.end()) return;
  const Operation operation = it->second;
  operations_.erase(it);
  const auto status = static_cast<std::size_t>(outcome.status);
  if (operation.probe) {
    ++counters_.probe_outcomes[status];
    Trace(now, [&] {
      return "probed server=" + NameOf(operation.server) + " status=" + kStatusNames[status] +
             NumberField("after", now - operation.sent);
    });
    DeliverEvent(now, ProbeEnded{operation.server, outcome.status, now - operation.sent, ReportOf(outcome)});
    return;
  }
  ++counters_.attempt_outcomes[status];
  Trace(now, [&] {
    return "ended" + NumberField("request", operation.request) + NumberField("attempt", operation.attempt) +
           " server=" + NameOf(operation.server) + " status=" + kStatusNames[status] +
           NumberField("role", static_cast<int>(outcome.role)) + NumberField("after", now - operation.sent);
  });
  attempts_.erase({operation.request, operation.attempt});
  const Freshness freshness =
      options_.settings.classes[static_cast<std::size_t>(operation.class_index)].freshness;
  AttemptEnded event;
  event.id = operation.request;
  event.attempt = operation.attempt;
  event.server = operation.server;
  event.status = outcome.status;
  event.elapsed = now - operation.sent;
  event.role = outcome.role;
  event.position_ms = PositionMs(outcome, freshness == Freshness::kWrite && outcome.status == Status::kOk);
  event.report = ReportOf(outcome);
  if (const auto request = requests_.find(operation.request);
      request != requests_.end() && !NeverRan(outcome.status)) {
    request->second.may_have_run = std::min(request->second.may_have_run, operation.sent);
  }
  const bool wrote = freshness == Freshness::kWrite && outcome.status == Status::kOk;
  if (outcome.status == Status::kOk)
    SendFinalResponse(now, operation.request, ServedResponse{std::move(outcome.result)});
  event.over = !requests_.contains(operation.request);
  DeliverEvent(now, std::move(event));
  if (replicates_) ReplicateOutcome(operation, outcome, wrote);
}

// Before the answer that this outcome ends in: by the time that the client asks again, the other process
// knows.
void Dispatcher::ReplicateOutcome(const Operation& operation, const Outcome& outcome, bool wrote) {
  const auto tell = [&](auto news) { commands_.insert(commands_.begin(), ReplicateToPeer{std::move(news)}); };
  if (wrote && operation.key != 0) {
    for (const SessionWrote& session : router_.sessions(operation.key)) tell(UpdateOf(session));
  }
  if (outcome.role == Role::kUnknown) return;
  for (auto& [id, known] : servers_) {
    if (known.server != operation.server || known.replicated_role == outcome.role) continue;
    known.replicated_role = outcome.role;
    tell(UpdateOf(id, known.server));
  }
}

SessionUpdate Dispatcher::UpdateOf(const SessionWrote& wrote) const {
  const Micros commit = wrote.position_ms * 1000 + options_.settings.origin;
  return {wrote.key, wrote.group, (commit + 999) / 1000};
}

ServerUpdate Dispatcher::UpdateOf(const std::string& id, ServerId server) const {
  const ServerShown shown = router_.shown(server);
  const Micros position = shown.position_ms * 1000 + options_.settings.origin;
  return {id, shown.role, shown.role_time, shown.position_ms > 0 ? position / 1000 : 0};
}

std::vector<SessionUpdate> Dispatcher::SessionSnapshot() const {
  std::vector<SessionUpdate> all;
  for (const SessionWrote& session : router_.sessions(0)) all.push_back(UpdateOf(session));
  return all;
}

std::vector<ServerUpdate> Dispatcher::ServerSnapshot() const {
  std::vector<ServerUpdate> all;
  for (const auto& [id, known] : servers_) all.push_back(UpdateOf(id, known.server));
  return all;
}

void Dispatcher::ApplyPeerUpdate(Micros now, const SessionUpdate& news) {
  const Micros commit = news.commit_unix_ms * 1000 - options_.settings.origin;
  DeliverEvent(now, SessionWrote{news.key, news.group, (std::max<Micros>(commit, 0) + 999) / 1000});
}

void Dispatcher::ApplyPeerUpdate(Micros now, const ServerUpdate& news) {
  const auto known = servers_.find(news.id);
  if (known == servers_.end()) return;
  const Micros position = news.position_unix_ms * 1000 - options_.settings.origin;
  DeliverEvent(now, ServerShown{known->second.server, news.role, news.role_time,
                                std::max<Micros>(position, 0) / 1000});
}

std::string Dispatcher::NameOf(ServerId server) const {
  for (const auto& [id, known] : servers_) {
    if (known.server == server) return id;
  }
  return "-";
}

// The only place from which a final answer goes out: the first one ends the request.
void Dispatcher::SendFinalResponse(Micros now, RequestId id, Response response) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  CountResponse(it->second.class_index, response);
  Trace(now, [&] {
    const auto* refused = std::get_if<RejectedResponse>(&response);
    return std::string(refused                                            ? "refused"
                       : std::holds_alternative<FailedResponse>(response) ? "failed"
                                                                          : "served") +
           NumberField("request", id) + NumberField("retry_after", refused ? refused->retry_after : 0);
  });
  requests_.erase(it);
  if (std::holds_alternative<ServedResponse>(response)) ++counters_.served;
  if (std::holds_alternative<RejectedResponse>(response)) ++counters_.rejected;
  if (std::holds_alternative<FailedResponse>(response)) ++counters_.failed;
  commands_.push_back(SendResponse{id, std::move(response)});
  CancelUnsent(now, id);
}

void Dispatcher::CountResponse(int class_index, const Response& response) {
  ClassStatistics& ends = class_statistics_[static_cast<std::size_t>(class_index)];
  ++(std::holds_alternative<ServedResponse>(response)     ? ends.passed
     : std::holds_alternative<RejectedResponse>(response) ? ends.dropped
                                                          : ends.bad_gateway);
}

// Positions on sockets are Unix milliseconds; the module's count from the origin. Rounded down, commits up:
// so no read is ever taken to be newer than it is.
std::optional<std::int64_t> Dispatcher::PositionMs(const Outcome& outcome, bool commit) const {
  if (!outcome.position_unix_ms) return std::nullopt;
  const Micros after = *outcome.position_unix_ms * 1000 - options_.settings.origin;
  if (after <= 0) return std::nullopt;
  return commit ? (after + 999) / 1000 : after / 1000;
}

Report Dispatcher::ReportOf(const Outcome& outcome) const {
  Report report;
  if (outcome.report.empty()) return report;
  for (const std::string& field : options_.settings.report_fields) {
    const auto it = std::find_if(outcome.report.begin(), outcome.report.end(),
                                 [&](const auto& pair) { return pair.first == field; });
    double value = it == outcome.report.end() ? -1 : it->second;
    // Whole milliseconds, rounded down, as in answers; the module wants seconds after the origin.
    if (field == "x0" && value > 0) {
      value = (std::floor(value) - static_cast<double>(options_.settings.origin) / 1e3) / 1e3;
    }
    report.push_back(value);
  }
  return report;
}

ListNews Dispatcher::UpdateOf(const EndpointList& listing, ListKind kind) {
  ListNews news{kind, listing.version, {}};
  if (listing.complete) {
    std::set<std::string_view> named;
    for (const ListedServer& listed : listing.servers) named.insert(listed.id);
    std::erase_if(servers_, [&](const auto& entry) {
      if (named.contains(entry.first)) return false;
      commands_.push_back(RemoveServer{entry.second.server});
      return true;
    });
  }
  for (const ListedServer& listed : listing.servers) {
    const auto found = servers_.find(listed.id);
    if (found == servers_.end() && listed.state == ServerState::kGone) continue;
    Known& known = found == servers_.end() ? servers_[listed.id] : found->second;
    if (known.server == 0) known.server = next_server_++;
    const ServerId id = known.server;
    const bool accepts = listed.state == ServerState::kReady;
    const bool moved = !listed.address.empty() && known.address != listed.address;
    if (moved) known.address = listed.address;
    if (accepts && (moved || !known.accepts) && !known.address.empty())
      commands_.push_back(SetAddress{id, known.address});
    // What waits for a connection there would begin whenever that comes up, however long after this word.
    if (!accepts && known.accepts) commands_.push_back(RemoveServer{id});
    known.accepts = accepts;
    ListEntry entry;
    entry.server = id;
    entry.group = listed.group;
    entry.zone = IndexOf(options_.zones, listed.zone);
    entry.kind = IndexOf(options_.kinds, listed.kind);
    entry.state = listed.state;
    entry.capacity_hint = listed.capacity_hint;
    entry.boot_time = listed.started_unix_ms * 1000;
    entry.leads = listed.leads;
    news.entries.push_back(entry);
    if (listed.state == ServerState::kGone) servers_.erase(listed.id);
  }
  return news;
}

void Dispatcher::Execute(Micros now, const Send& action) {
  const auto it = requests_.find(action.id);
  const bool too_many = it != requests_.end() && options_.settings.max_attempts > 0 &&
                        it->second.sends >= options_.settings.max_attempts;
  if (it == requests_.end() || too_many || now > it->second.deadline) {
    AttemptEnded moot;
    moot.id = action.id;
    moot.server = action.server;
    moot.status = Status::kMoot;
    moot.over = it == requests_.end();
    if (it != requests_.end()) moot.attempt = it->second.sends++;
    ++counters_.attempt_outcomes[static_cast<std::size_t>(Status::kMoot)];
    DeliverEvent(now, moot);
    return;
  }
  Request& request = it->second;
  const Micros latest_start = LatestStart(action.id, request);
  const OperationId operation_id = next_operation_++;
  const int attempt = request.sends++;
  operations_[operation_id] = {false,         action.id, attempt,    request.class_index,
                               action.server, now,       request.key};
  attempts_[{action.id, attempt}] = operation_id;
  ++counters_.attempts;
  Trace(now, [&] {
    return "sent" + NumberField("request", action.id) + NumberField("attempt", attempt) +
           " server=" + NameOf(action.server) + NumberField("within", action.timeout);
  });
  const Micros deadline =
      action.timeout > 0 ? std::min(request.deadline, now + action.timeout) : request.deadline;
  Schedule(deadline, TimerKind::kOperation, operation_id);
  commands_.push_back(StartAttempt{operation_id, action.server, request.payload, deadline, latest_start});
}

// A keyed request may be repeated only within a window of the first attempt that may have run. The module
// keeps to that when it decides; a connection that is long in coming up must not carry the attempt past it.
Micros Dispatcher::LatestStart(RequestId id, const Request& request) const {
  const ClassSettings& c = options_.settings.classes[static_cast<std::size_t>(request.class_index)];
  if (c.effect != Effect::kKeyed) return kNoDeadline;
  Micros first = request.may_have_run;
  for (auto it = attempts_.lower_bound({id, 0}); it != attempts_.end() && it->first.first == id; ++it) {
    first = std::min(first, operations_.at(it->second).sent);
  }
  return first == kNoDeadline ? kNoDeadline : first + c.repeat_window;
}

void Dispatcher::Execute(Micros now, const Refuse& action) {
  SendFinalResponse(now, action.id, RejectedResponse{action.retry_after});
}

void Dispatcher::Execute(Micros now, const Fail& action) {
  SendFinalResponse(now, action.id, FailedResponse{});
}

void Dispatcher::Execute(Micros now, const Cancel& action) {
  const auto it = attempts_.find({action.id, action.attempt});
  if (it == attempts_.end()) return;
  const OperationId operation_id = it->second;
  commands_.push_back(CancelOperation{operation_id});
  FinishOperation(now, operation_id, Outcome{.status = Status::kCancelled});
}

void Dispatcher::Execute(Micros now, const SetTimer& action) {
  // Never in the turn in which it is set.
  Schedule(now + std::max<Micros>(action.delay, 1), TimerKind::kModule, action.token);
}

void Dispatcher::Execute(Micros now, const Probe& action) {
  const OperationId operation_id = next_operation_++;
  operations_[operation_id] = {true, 0, 0, 0, action.server, now, 0};
  ++counters_.probes;
  Schedule(now + options_.probe_timeout, TimerKind::kOperation, operation_id);
  commands_.push_back(StartProbe{operation_id, action.server});
}

void Dispatcher::Execute(Micros, const CloseIdle& action) {
  commands_.push_back(CloseIdleConnections{action.server});
}

void Dispatcher::Execute(Micros, const TellPeers&) {}  // this site's routers have no way to reach each other

void Dispatcher::Execute(Micros, const Log& action) { commands_.push_back(WriteLog{action.text}); }

void Dispatcher::Execute(Micros, const WatchList&) {}  // the watch is kept up by itself

void Dispatcher::Execute(Micros, const FetchList&) { commands_.push_back(RefreshEndpointList{}); }

}  // namespace tulipyoke
