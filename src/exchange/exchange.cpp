#include "src/exchange/exchange.hpp"

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
  return status == Status::kStaleOrWrongRole || status == Status::kOverloaded ||
         status == Status::kConnectFailed || status == Status::kNotSent;
}

// What the client calls its request.
std::string_view ClientsId(const Payload* payload) {
  const std::string_view bytes = payload ? std::string_view(payload->bytes) : std::string_view();
  const std::size_t at = bytes.rfind("/* id=");
  if (at == std::string_view::npos) return "-";
  return bytes.substr(at + 6, bytes.find_first_of(", ", at + 6) - at - 6);
}

std::string Numbered(const char* name, std::int64_t value) {
  return std::string(" ") + name + "=" + std::to_string(value);
}

}  // namespace

std::string ToText(const ExchangeCounters& c) {
  std::string text;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    text += (text.empty() ? "" : " ") + name + "=" + std::to_string(value);
  };
  add("taken", c.taken);
  add("served", c.served);
  add("refused", c.refused);
  add("failed", c.failed);
  add("overdue", c.overdue);
  add("left", c.left);
  add("attempts", c.attempts);
  for (std::size_t i = 0; i < kStatuses; ++i) add(std::string("attempt_") + kStatusNames[i], c.outcomes[i]);
  add("probes", c.probes);
  for (std::size_t i = 0; i < kStatuses; ++i) {
    if (c.probe_outcomes[i]) add(std::string("probe_") + kStatusNames[i], c.probe_outcomes[i]);
  }
  add("lists", c.lists);
  return text;
}

std::string ToText(const Figures& figures, char end) {
  std::string text;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    text += name + "=" + std::to_string(value) + end;
  };
  for (const auto& [name, ends] : figures.classes) {
    add("passed." + name, ends.passed);
    add("dropped." + name, ends.dropped);
    add("bad_gateway." + name, ends.bad_gateway);
  }
  add("upstream_tries", figures.upstream_tries);
  add("in_progress", figures.in_progress);
  add("known_readings_servers", figures.known_servers);
  add("skipped_readings_servers", figures.skipped_servers);
  return text;
}

Exchange::Exchange(ExchangeOptions options)
    : options_(std::move(options)),
      router_(options_.settings, options_.seed),
      ends_(options_.settings.classes.size()) {}

void Exchange::Start(Micros now, const Listing& known) {
  Pass(now, NewsOf(known, EndpointListKind::kCached));
}

RequestId Exchange::Submit(Micros now, const ClientRequest& request) {
  const RequestId id = next_request_++;
  const Micros deadline = std::max(now, std::min(now + request.wait, end_by_));
  requests_[id] = {request.class_index, 0, deadline, request.key, request.payload, kNoLimit};
  ++counters_.taken;
  Trace(now, [&] {
    return "taken id=" + std::string(ClientsId(request.payload.get())) + Numbered("request", id) +
           " class=" + options_.settings.classes[static_cast<std::size_t>(request.class_index)].name +
           Numbered("group", request.group) + Numbered("wait", deadline - now);
  });
  // Should the module ever leave a request unanswered, the client still gets its answer inside the slack.
  Schedule(deadline + options_.settings.response_slack / 2, DueKind::kOverdue, id);
  RequestArrived event;
  event.id = id;
  event.class_index = request.class_index;
  event.tenant = request.tenant;
  event.group = request.group;
  event.key = request.key;
  event.remaining = deadline - now;
  event.is_retry = request.repeat;
  if (request.after_unix_ms) {
    event.ms_since_write =
        std::max(0.001, static_cast<double>(now) / 1e3 - static_cast<double>(*request.after_unix_ms));
  }
  Pass(now, event);
  return id;
}

void Exchange::ClientLeft(Micros now, RequestId id) {
  if (const auto running = running_.find(id); running != running_.end()) {
    ++counters_.left;
    if (const Ticket ticket = running->second.ticket; ticket != 0) {
      begun_.erase(ticket);
      commands_.push_back(EndTicket{ticket});
    }
    running_.erase(running);
    return;
  }
  if (requests_.erase(id) == 0) return;
  ++counters_.left;
  Pass(now, RequestCancelled{id});
  EndUnsent(now, id);
}

// Nobody waits for that request any more. What still waits for a connection, or is being written, must not go
// out later on: a server begins nothing before its last byte, so that it never runs.
void Exchange::EndUnsent(Micros now, RequestId id) {
  std::vector<Ticket> unsent;
  for (auto it = attempts_.lower_bound({id, 0}); it != attempts_.end() && it->first.first == id; ++it) {
    if (!out_.at(it->second).written) unsent.push_back(it->second);
  }
  for (const Ticket ticket : unsent) {
    const bool carried = std::erase_if(commands_, [&](const Command& command) {
                           const auto* start = std::get_if<StartAttempt>(&command);
                           return start && start->ticket == ticket;
                         }) == 0;
    if (carried) commands_.push_back(EndTicket{ticket});
    EndOut(now, ticket, Outcome{.status = Status::kNotSent});
  }
}

void Exchange::Written(Ticket ticket) {
  const auto it = out_.find(ticket);
  if (it == out_.end() || it->second.probe) return;
  it->second.written = true;
  ++written_;
}

Figures Exchange::FiguresAt(Micros now) const {
  Figures figures;
  for (std::size_t i = 0; i < ends_.size(); ++i) {
    figures.classes.emplace_back(options_.settings.classes[i].name, ends_[i]);
  }
  figures.upstream_tries = written_;
  figures.in_progress = live();
  figures.known_servers = servers_.size();
  for (const auto& [id, known] : servers_)
    figures.skipped_servers += router_.avoids(now, known.server) ? 1 : 0;
  return figures;
}

void Exchange::Finished(Micros now, Ticket ticket, Outcome outcome) {
  const auto begun = begun_.find(ticket);
  if (begun != begun_.end()) return EndTransfer(now, begun->second, std::move(outcome));
  EndOut(now, ticket, std::move(outcome));
}

std::shared_ptr<Transfer> Exchange::Begin(Micros now, Ticket ticket, const std::string& shape,
                                          std::size_t size) {
  const auto found = out_.find(ticket);
  if (found == out_.end()) return nullptr;
  const Out out = found->second;
  const bool wanted = !out.probe && requests_.erase(out.request) > 0;
  if (wanted) {
    const auto transfer = std::make_shared<Transfer>(shape, size);
    running_[out.request] = {ticket, out, transfer};
    begun_[ticket] = out.request;
    commands_.push_back(AnswerRequest{out.request, Begun{transfer}});
  }
  // Its first bytes are what it is timed by. A write's commit, told behind the value, is taken to be of this
  // moment: rounding up is safe.
  EndOut(now, ticket, Outcome{});
  return wanted ? running_.at(out.request).transfer : nullptr;
}

void Exchange::EndTransfer(Micros now, RequestId id, Outcome outcome) {
  Running& running = running_.at(id);
  begun_.erase(std::exchange(running.ticket, 0));
  const Out out = running.out;
  const std::shared_ptr<Transfer> transfer = running.transfer;
  const bool ok = outcome.status == Status::kOk;
  const Freshness freshness = options_.settings.classes[static_cast<std::size_t>(out.class_index)].freshness;
  const bool wrote = ok && freshness == Freshness::kWrite;
  const std::optional<std::int64_t> position = PositionMs(outcome, wrote);
  Pass(now, ServerObservation{out.server, outcome.role, now, wrote ? 0 : position.value_or(0)});
  if (tells_) TellOutcome(out, outcome, wrote);
  // This may end the client's side as well, and with it what is known of the transfer here.
  if (ok) return transfer->Complete(std::move(outcome.served.tag));
  transfer->Break();
}

void Exchange::Delivered(RequestId id) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  const bool whole = it->second.transfer->state() == Transfer::State::kWhole;
  ++(whole ? counters_.served : counters_.failed);
  CountEnd(it->second.out.class_index, whole ? Answer(Served{}) : Answer(Failed{}));
  if (const Ticket ticket = it->second.ticket; ticket != 0) begun_.erase(ticket);
  running_.erase(it);
}

void Exchange::Heard(Micros now, const Listing& listing) {
  ++counters_.lists;
  Trace(now, [&] {
    std::string text = "heard" + Numbered("complete", listing.complete);
    for (const ListedServer& listed : listing.servers)
      text += " " + listed.id + Numbered("state", static_cast<int>(listed.state));
    return text;
  });
  Pass(now, NewsOf(listing, listing.complete ? EndpointListKind::kFull : EndpointListKind::kDelta));
}

void Exchange::EndBy(Micros when) {
  end_by_ = when;
  // The module says how each ends: what was never sent is refused, so that its client may ask elsewhere.
  for (const auto& [id, request] : requests_) {
    if (request.deadline <= when) continue;
    Schedule(when, DueKind::kTimer, id);
    Schedule(when, DueKind::kOverdue, id);
  }
}

void Exchange::Tick(Micros now) {
  while (!due_.empty() && due_.top().when <= now) {
    const Due due = due_.top();
    due_.pop();
    if (due.kind == DueKind::kTimer) {
      Pass(now, TimerFired{due.id});
    } else if (due.kind == DueKind::kTicket) {
      if (!out_.contains(due.id)) continue;
      commands_.push_back(EndTicket{due.id});
      // What is still waiting for its connection, or has not gone out whole, has not run and never will.
      const Out& late = out_.at(due.id);
      const bool may_run = late.probe || late.written;
      EndOut(now, due.id, Outcome{.status = may_run ? Status::kTimeout : Status::kConnectFailed});
    } else if (requests_.contains(due.id)) {
      counters_.overdue += now > requests_.at(due.id).deadline ? 1 : 0;
      Give(now, due.id, Failed{});
      Pass(now, RequestCancelled{due.id});
    }
  }
}

std::optional<Micros> Exchange::NextDue() const {
  if (due_.empty()) return std::nullopt;
  return due_.top().when;
}

// Events that arise while one is being handled wait for their turn, so that the module is never re-entered.
void Exchange::Pass(Micros now, Event event) {
  events_.push_back(std::move(event));
  if (passing_) return;
  passing_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    router_.handle(now, next, actions);
    for (const Action& action : actions) {
      std::visit([&](const auto& what) { Do(now, what); }, action);
    }
  }
  passing_ = false;
}

void Exchange::Schedule(Micros when, DueKind kind, std::uint64_t id) {
  due_.push({when, kind, next_sequence_++, id});
}

void Exchange::EndOut(Micros now, Ticket ticket, Outcome outcome) {
  const auto it = out_.find(ticket);
  if (it == out_.end()) return;
  const Out out = it->second;
  out_.erase(it);
  const auto status = static_cast<std::size_t>(outcome.status);
  if (out.probe) {
    ++counters_.probe_outcomes[status];
    Trace(now, [&] {
      return "probed server=" + NameOf(out.server) + " status=" + kStatusNames[status] +
             Numbered("after", now - out.sent);
    });
    Pass(now, HealthCheckEnded{out.server, outcome.status, now - out.sent, ReportOf(outcome)});
    return;
  }
  ++counters_.outcomes[status];
  Trace(now, [&] {
    return "ended" + Numbered("request", out.request) + Numbered("attempt", out.attempt) +
           " server=" + NameOf(out.server) + " status=" + kStatusNames[status] +
           Numbered("role", static_cast<int>(outcome.role)) + Numbered("after", now - out.sent);
  });
  attempts_.erase({out.request, out.attempt});
  const Freshness freshness = options_.settings.classes[static_cast<std::size_t>(out.class_index)].freshness;
  AttemptEnded event;
  event.id = out.request;
  event.attempt = out.attempt;
  event.server = out.server;
  event.status = outcome.status;
  event.elapsed = now - out.sent;
  event.role = outcome.role;
  event.position_ms = PositionMs(outcome, freshness == Freshness::kWrite && outcome.status == Status::kOk);
  event.report = ReportOf(outcome);
  if (const auto request = requests_.find(out.request);
      request != requests_.end() && !NeverRan(outcome.status)) {
    request->second.may_have_run = std::min(request->second.may_have_run, out.sent);
  }
  const bool wrote = freshness == Freshness::kWrite && outcome.status == Status::kOk;
  if (outcome.status == Status::kOk) Give(now, out.request, Served{std::move(outcome.served)});
  event.request_ended = !requests_.contains(out.request);
  Pass(now, std::move(event));
  if (tells_) TellOutcome(out, outcome, wrote);
}

// Before the answer that this outcome ends in: by the time that the client asks again, the other process
// knows.
void Exchange::TellOutcome(const Out& out, const Outcome& outcome, bool wrote) {
  const auto tell = [&](auto news) { commands_.insert(commands_.begin(), TellPartners{std::move(news)}); };
  if (wrote && out.key != 0) {
    for (const SessionCommit& session : router_.known_commits(out.key)) tell(NewsOf(session));
  }
  if (outcome.role == Role::kUnknown) return;
  for (auto& [id, known] : servers_) {
    if (known.server != out.server || known.told == outcome.role) continue;
    known.told = outcome.role;
    tell(NewsOf(id, known.server));
  }
}

SessionNews Exchange::NewsOf(const SessionCommit& wrote) const {
  const Micros commit = wrote.position_ms * 1000 + options_.settings.position_epoch;
  return {wrote.key, wrote.group, (commit + 999) / 1000};
}

ServerNews Exchange::NewsOf(const std::string& id, ServerId server) const {
  const ServerObservation shown = router_.observation(server);
  const Micros position = shown.position_ms * 1000 + options_.settings.position_epoch;
  return {id, shown.role, shown.role_time, shown.position_ms > 0 ? position / 1000 : 0};
}

std::vector<SessionNews> Exchange::Sessions() const {
  std::vector<SessionNews> all;
  for (const SessionCommit& session : router_.known_commits(0)) all.push_back(NewsOf(session));
  return all;
}

std::vector<ServerNews> Exchange::Shown() const {
  std::vector<ServerNews> all;
  for (const auto& [id, known] : servers_) all.push_back(NewsOf(id, known.server));
  return all;
}

void Exchange::Learn(Micros now, const SessionNews& news) {
  const Micros commit = news.commit_unix_ms * 1000 - options_.settings.position_epoch;
  Pass(now, SessionCommit{news.key, news.group, (std::max<Micros>(commit, 0) + 999) / 1000});
}

void Exchange::Learn(Micros now, const ServerNews& news) {
  const auto known = servers_.find(news.id);
  if (known == servers_.end()) return;
  const Micros position = news.position_unix_ms * 1000 - options_.settings.position_epoch;
  Pass(now,
       ServerObservation{known->second.server, news.role, news.heard, std::max<Micros>(position, 0) / 1000});
}

std::string Exchange::NameOf(ServerId server) const {
  for (const auto& [id, known] : servers_) {
    if (known.server == server) return id;
  }
  return "-";
}

// The only place from which a final answer goes out: the first one ends the request.
void Exchange::Give(Micros now, RequestId id, Answer answer) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  CountEnd(it->second.class_index, answer);
  Trace(now, [&] {
    const auto* refused = std::get_if<Refused>(&answer);
    return std::string(refused                                  ? "refused"
                       : std::holds_alternative<Failed>(answer) ? "failed"
                                                                : "served") +
           Numbered("request", id) + Numbered("retry_after", refused ? refused->retry_after : 0);
  });
  requests_.erase(it);
  if (std::holds_alternative<Served>(answer)) ++counters_.served;
  if (std::holds_alternative<Refused>(answer)) ++counters_.refused;
  if (std::holds_alternative<Failed>(answer)) ++counters_.failed;
  commands_.push_back(AnswerRequest{id, std::move(answer)});
  EndUnsent(now, id);
}

void Exchange::CountEnd(int class_index, const Answer& answer) {
  ClassFigures& ends = ends_[static_cast<std::size_t>(class_index)];
  ++(std::holds_alternative<Served>(answer)    ? ends.passed
     : std::holds_alternative<Refused>(answer) ? ends.dropped
                                               : ends.bad_gateway);
}

// Positions on sockets are Unix milliseconds; the module's count from the origin. Rounded down, commits up:
// so no read is ever taken to be newer than it is.
std::optional<std::int64_t> Exchange::PositionMs(const Outcome& outcome, bool commit) const {
  if (!outcome.position_unix_ms) return std::nullopt;
  const Micros after = *outcome.position_unix_ms * 1000 - options_.settings.position_epoch;
  if (after <= 0) return std::nullopt;
  return commit ? (after + 999) / 1000 : after / 1000;
}

Report Exchange::ReportOf(const Outcome& outcome) const {
  Report report;
  if (outcome.report.empty()) return report;
  for (const std::string& field : options_.settings.report_fields) {
    const auto it = std::find_if(outcome.report.begin(), outcome.report.end(),
                                 [&](const auto& pair) { return pair.first == field; });
    double value = it == outcome.report.end() ? -1 : it->second;
    // Whole milliseconds, rounded down, as in answers; the module wants seconds after the origin.
    if (field == "x0" && value > 0) {
      value = (std::floor(value) - static_cast<double>(options_.settings.position_epoch) / 1e3) / 1e3;
    }
    report.push_back(value);
  }
  return report;
}

EndpointListUpdate Exchange::NewsOf(const Listing& listing, EndpointListKind kind) {
  EndpointListUpdate news{kind, listing.version, {}};
  if (listing.complete) {
    std::set<std::string_view> named;
    for (const ListedServer& listed : listing.servers) named.insert(listed.id);
    std::erase_if(servers_, [&](const auto& entry) {
      if (named.contains(entry.first)) return false;
      commands_.push_back(ForgetServer{entry.second.server});
      return true;
    });
  }
  for (const ListedServer& listed : listing.servers) {
    const auto found = servers_.find(listed.id);
    if (found == servers_.end() && listed.state == ServerState::kGone) continue;
    Known& known = found == servers_.end() ? servers_[listed.id] : found->second;
    if (known.server == 0) known.server = next_server_++;
    const ServerId id = known.server;
    const bool takes = listed.state == ServerState::kReady;
    const bool moved = !listed.address.empty() && known.address != listed.address;
    if (moved) known.address = listed.address;
    if (takes && (moved || !known.takes) && !known.address.empty())
      commands_.push_back(SetAddress{id, known.address});
    // What waits for a connection there would begin whenever that comes up, however long after this word.
    if (!takes && known.takes) commands_.push_back(ForgetServer{id});
    known.takes = takes;
    EndpointEntry entry;
    entry.server = id;
    entry.group = listed.group;
    entry.zone = IndexOf(options_.zones, listed.zone);
    entry.kind = IndexOf(options_.kinds, listed.kind);
    entry.state = listed.state;
    entry.capacity_hint = listed.capacity_hint;
    entry.boot_time = listed.started_unix_ms * 1000;
    entry.listed_primary = listed.leads;
    news.entries.push_back(entry);
    if (listed.state == ServerState::kGone) servers_.erase(listed.id);
  }
  return news;
}

void Exchange::Do(Micros now, const Send& action) {
  const auto it = requests_.find(action.id);
  const bool too_many = it != requests_.end() && options_.settings.max_attempts > 0 &&
                        it->second.sends >= options_.settings.max_attempts;
  if (it == requests_.end() || too_many || now > it->second.deadline) {
    AttemptEnded moot;
    moot.id = action.id;
    moot.server = action.server;
    moot.status = Status::kNotSent;
    moot.request_ended = it == requests_.end();
    if (it != requests_.end()) moot.attempt = it->second.sends++;
    ++counters_.outcomes[static_cast<std::size_t>(Status::kNotSent)];
    Pass(now, moot);
    return;
  }
  Request& request = it->second;
  const Micros start_by = StartBy(action.id, request);
  const Ticket ticket = next_ticket_++;
  const int attempt = request.sends++;
  out_[ticket] = {false, action.id, attempt, request.class_index, action.server, now, request.key};
  attempts_[{action.id, attempt}] = ticket;
  ++counters_.attempts;
  Trace(now, [&] {
    return "sent" + Numbered("request", action.id) + Numbered("attempt", attempt) +
           " server=" + NameOf(action.server) + Numbered("within", action.timeout);
  });
  const Micros give_up =
      action.timeout > 0 ? std::min(request.deadline, now + action.timeout) : request.deadline;
  Schedule(give_up, DueKind::kTicket, ticket);
  commands_.push_back(StartAttempt{ticket, action.server, request.payload, give_up, start_by});
}

// A keyed request may be repeated only within a window of the first attempt that may have run. The module
// keeps to that when it decides; a connection that is long in coming up must not carry the attempt past it.
Micros Exchange::StartBy(RequestId id, const Request& request) const {
  const ClassSettings& c = options_.settings.classes[static_cast<std::size_t>(request.class_index)];
  if (c.idempotency != Idempotency::kWithKey) return kNoLimit;
  Micros first = request.may_have_run;
  for (auto it = attempts_.lower_bound({id, 0}); it != attempts_.end() && it->first.first == id; ++it) {
    first = std::min(first, out_.at(it->second).sent);
  }
  return first == kNoLimit ? kNoLimit : first + c.retry_window;
}

void Exchange::Do(Micros now, const Reject& action) { Give(now, action.id, Refused{action.retry_after}); }

void Exchange::Do(Micros now, const Fail& action) { Give(now, action.id, Failed{}); }

void Exchange::Do(Micros now, const Cancel& action) {
  const auto it = attempts_.find({action.id, action.attempt});
  if (it == attempts_.end()) return;
  const Ticket ticket = it->second;
  commands_.push_back(EndTicket{ticket});
  EndOut(now, ticket, Outcome{.status = Status::kCancelled});
}

void Exchange::Do(Micros now, const SetTimer& action) {
  // Never in the turn in which it is set.
  Schedule(now + std::max<Micros>(action.delay, 1), DueKind::kTimer, action.token);
}

void Exchange::Do(Micros now, const CheckHealth& action) {
  const Ticket ticket = next_ticket_++;
  out_[ticket] = {true, 0, 0, 0, action.server, now, 0};
  ++counters_.probes;
  Schedule(now + options_.probe_timeout, DueKind::kTicket, ticket);
  commands_.push_back(StartProbe{ticket, action.server});
}

void Exchange::Do(Micros, const CloseIdle& action) {
  commands_.push_back(CloseIdleConnections{action.server});
}

void Exchange::Do(Micros, const Gossip&) {}  // this site's routers have no way to reach each other

void Exchange::Do(Micros, const Log& action) { commands_.push_back(WriteLog{action.text}); }

void Exchange::Do(Micros, const WatchEndpointList&) {}  // the watch is kept up by itself

void Exchange::Do(Micros, const FetchEndpointList&) { commands_.push_back(RefreshList{}); }

}  // namespace tulipyoke
