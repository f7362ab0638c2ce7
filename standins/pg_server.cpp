#include "standins/pg_server.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <stdexcept>

#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::standins {
namespace {

constexpr double kMillisecond = 1000;
constexpr int kSlowReceiveBuffer = 8192;  // bytes

// Unix time from the loops' clock, as positions on sockets want it.
Micros ToUnix(Micros when) {
  const auto unix_now = std::chrono::duration_cast<std::chrono::microseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
  return unix_now - Loop::Now() + when;
}

// The value of `name=` in the statement's comment; empty: none.
std::string Field(const std::string& text, const std::string& name) {
  const std::size_t comment = text.rfind("/*");
  if (comment == std::string::npos) return {};
  for (const char before : {' ', ','}) {
    const std::size_t at = text.find(before + name + "=", comment);
    if (at == std::string::npos) continue;
    const std::size_t from = at + name.size() + 2;
    return text.substr(from, text.find_first_of(", ", from) - from);
  }
  return {};
}

}  // namespace

struct PgServer::Session {
  explicit Session(tcp::socket s) : socket(std::move(s)), reader(true, pg::kMaxStatementSize) {}
  tcp::socket socket;
  pg::MessageReader reader;
  std::array<char, 16384> in{};
  Micros begun = 0;  // when the first byte of what comes now was there
  std::deque<std::string> out;
  std::size_t written = 0;  // bytes of the first answer in `out`
};

PgServer::PgServer(Loop& loop, checks::History& history, std::string name, std::string value)
    : loop_(loop),
      history_(history),
      name_(std::move(name)),
      value_(std::move(value)),
      acceptor_(loop.io(), Loopback(0)),
      port_(acceptor_.local_endpoint().port()) {
  loop_.Do([this] { Accept(); });
}

PgServer::~PgServer() {
  std::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& session : sessions_) session->socket.close(ignored);
}

void PgServer::Behave(const PgBehaviour& behaviour) {
  loop_.Do([&] {
    behaviour_ = behaviour;
    // Connections accepted from now on inherit it; otherwise the system would read in the server's place.
    if (behaviour.read_piece > 0)
      acceptor_.set_option(asio::socket_base::receive_buffer_size(kSlowReceiveBuffer));
  });
}
void PgServer::Start(double capacity) { history_.Add(Loop::Now(), checks::Started{name_, capacity}); }
std::size_t PgServer::accepted() {
  return loop_.Do([&] { return accepted_; });
}
std::size_t PgServer::statements() {
  return loop_.Do([&] { return statements_; });
}

void PgServer::Register(Script& script) {
  const auto on = [&](const std::string& word, auto change) {
    script.On(name_ + "." + word, [this, change](const nlohmann::json& step) { change(behaviour_, step); });
  };
  using Json = nlohmann::json;
  on("hang", [](PgBehaviour& b, const Json&) { b.hangs = true; });
  on("refuse", [](PgBehaviour& b, const Json&) { b.refuses = true; });
  on("fail", [](PgBehaviour& b, const Json&) { b.fails = true; });
  on("reset", [](PgBehaviour& b, const Json&) { b.resets = true; });
  on("lag", [](PgBehaviour& b, const Json& step) { b.lag = 1000 * step.at("ms").get<Micros>(); });
  on("well", [](PgBehaviour& b, const Json&) { b.hangs = b.refuses = b.fails = b.resets = false; });
}

void PgServer::Accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error) return;
    ++accepted_;
    const auto session = std::make_shared<Session>(std::move(socket));
    sessions_.insert(session);
    Read(session);
    Accept();
  });
}

void PgServer::Read(const std::shared_ptr<Session>& session) {
  const std::size_t most = behaviour_.read_piece > 0 ? behaviour_.read_piece : session->in.size();
  session->socket.async_read_some(
      asio::buffer(session->in, most), [this, session](std::error_code error, std::size_t size) {
        if (error) return static_cast<void>(sessions_.erase(session));
        if (session->begun == 0) session->begun = Loop::Now();
        session->reader.Feed(std::string_view(session->in.data(), size));
        Take(session);
        if (!session->socket.is_open()) return;
        After(behaviour_.read_interval, session, [this, session] { Read(session); });
      });
}

void PgServer::Take(const std::shared_ptr<Session>& session) {
  while (const auto message = session->reader.Next()) {
    if (message->type == '\0') {
      session->reader.EndStartup();
      std::string hello;
      pg::AppendAuthenticationOk(hello);
      pg::AppendReadyForQuery(hello);
      Write(session, hello);
    } else if (message->type == 'Q') {
      Query(session, std::string(*pg::ParseQuery(message->body)));
    }
    session->begun = 0;
  }
  if (const auto error = session->reader.error()) throw std::runtime_error(std::string(pg::ToText(*error)));
}

void PgServer::Query(const std::shared_ptr<Session>& session, const std::string& text) {
  const std::string request = Field(text, "id");
  const bool probe = request.empty();
  const bool write = text.starts_with("INSERT");
  const Micros now = Loop::Now();
  if (!probe) {
    ++statements_;
    history_.Add(now,
                 checks::Reached{request, "", name_, session->begun, static_cast<double>(behaviour_.work)});
  }
  if (behaviour_.hangs) return;
  auto timer = std::make_shared<asio::steady_timer>(loop_.io());
  if (!probe) free_at_ = std::max(now, free_at_) + behaviour_.work;
  timer->expires_after(std::chrono::microseconds(probe ? 0 : std::max(behaviour_.service, free_at_ - now)));
  timer->async_wait([this, session, request, write, probe, timer](std::error_code error) {
    if (!error && sessions_.contains(session)) Answer(session, request, write, probe);
  });
}

void PgServer::Answer(const std::shared_ptr<Session>& session, const std::string& request, bool write,
                      bool probe) {
  const Micros now = Loop::Now();
  const Micros position = behaviour_.primary ? now : now - behaviour_.lag;
  const Micros unix_position = ToUnix(position);  // reports and answers state it in milliseconds
  std::string out;
  if (behaviour_.resets) {
    std::error_code ignored;
    session->socket.close(ignored);
    sessions_.erase(session);
    return;
  }
  const bool not_primary = write && !behaviour_.primary;
  if (behaviour_.refuses || not_primary) {
    if (!probe) history_.Add(now, checks::NotRun{request, name_});
    pg::AppendError(out, "ERROR", not_primary ? "25006" : "53300", "not here");
  } else if (behaviour_.fails) {
    if (!probe) history_.Add(now, checks::Ran{request, name_, position});
    pg::AppendError(out, "ERROR", "XX000", "it failed");
  } else {
    if (!probe) history_.Add(now, checks::Ran{request, name_, position});
    const std::string report = "x0=" + std::to_string(unix_position / 1000) +
                               ",x1=" + (behaviour_.primary ? "1" : "0") + ",util=0.1";
    if (probe) pg::AppendParameterStatus(out, "pressure", report);
    pg::AppendMessage(out, 'T', kShape);
    pg::AppendDataRow(out, probe ? report : value_);
    pg::AppendMessage(out, 'C', std::string("SELECT 1\0", 9));
  }
  pg::AppendParameterStatus(out, "replication_role", behaviour_.primary ? "primary" : "standby");
  // Positions are rounded down, commits up.
  const double ms = static_cast<double>(unix_position) / kMillisecond;
  pg::AppendParameterStatus(out, "log_position", std::to_string(static_cast<Micros>(write ? ms + 1 : ms)));
  pg::AppendReadyForQuery(out);
  Write(session, std::move(out));
}

void PgServer::Write(const std::shared_ptr<Session>& session, std::string bytes) {
  session->out.push_back(std::move(bytes));
  if (session->out.size() == 1) Flush(session);
}

void PgServer::Flush(const std::shared_ptr<Session>& session) {
  const std::string& answer = session->out.front();
  const std::size_t rest = answer.size() - session->written;
  const std::size_t piece = behaviour_.write_piece > 0 ? std::min(behaviour_.write_piece, rest) : rest;
  asio::async_write(session->socket, asio::buffer(answer.data() + session->written, piece),
                    [this, session](std::error_code error, std::size_t size) {
                      if (error) return static_cast<void>(sessions_.erase(session));
                      session->written += size;
                      if (session->written == session->out.front().size()) {
                        session->out.pop_front();
                        session->written = 0;
                      }
                      if (session->out.empty()) return;
                      After(behaviour_.write_interval, session, [this, session] { Flush(session); });
                    });
}

void PgServer::After(Micros pause, const std::shared_ptr<Session>& session, std::function<void()> next) {
  if (pause == 0) return next();
  const auto timer = std::make_shared<asio::steady_timer>(loop_.io());
  timer->expires_after(std::chrono::microseconds(pause));
  timer->async_wait([this, session, timer, next = std::move(next)](std::error_code error) {
    if (!error && sessions_.contains(session)) next();
  });
}

}  // namespace tulipyoke::standins
