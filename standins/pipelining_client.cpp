#include "standins/pipelining_client.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

#include "src/pg/message_parser.hpp"
#include "src/pg/message_writer.hpp"
#include "standins/loop.hpp"

namespace tulipyoke::standins {
namespace {

// A statement that was sent this long before the end of the connection has been read by a router that reads.
constexpr Micros kCertainlyRead = 500'000;
// By the page an answer that is this late earns nothing, and a later one is lost.
constexpr Micros kAnswerSlack = 500'000;
// How long a client waits for its last responses and for the end of its connection.
constexpr Micros kLastWait = 15'000'000;
constexpr int kSlowReceiveBuffer = 16'384;     // bytes
constexpr std::size_t kBufferedValue = 4'096;  // bytes; statements with more can stay in the system's buffers
constexpr int kPollMilliseconds = 2;
constexpr int kSetInHundred = 5, kEmptyInHundred = 5, kWriteInHundred = 10;

void Count(std::atomic<int>& counter) {
  ++counter;
  counter.notify_all();
}

std::string Digits(std::size_t value_size) { return std::string(2 * value_size, 'a'); }

}  // namespace

// One connection, from its startup to its end.
class PipeliningClient::Connection {
 public:
  Connection(PipeliningClient& client, PipeliningControl& control)
      : client_(client), control_(control), socket_(io_) {}

  void Run() {
    if (!Open()) return;
    while (!ended_ && !IsOver()) {
      if (!control_.stopped) {
        Compose();
        Send();
      }
      WaitForInput();
      Receive();
    }
    Settle();
  }

 private:
  bool Open() {
    std::error_code error;
    socket_.open(tcp::v4());
    if (reads_slowly()) socket_.set_option(asio::socket_base::receive_buffer_size(kSlowReceiveBuffer));
    socket_.connect(Loopback(client_.port_), error);
    if (error) return false;
    ++client_.counts_.connections;
    Count(control_.connections);
    socket_.set_option(tcp::no_delay(true));
    socket_.non_blocking(true);
    pg::AppendStartup(unsent_, "api", "ledger");
    sent_ -= static_cast<std::ptrdiff_t>(unsent_.size());  // offsets count from the end of the startup
    const int draw = static_cast<int>(client_.random_() % 100);
    const PipeliningOptions& options = client_.options_;
    if (draw < options.invalid_in_100) {
      ending_ = Ending::kInvalid;
    } else if (draw < options.invalid_in_100 + options.incomplete_in_100) {
      ending_ = Ending::kIncomplete;
    }
    batches_before_ending_ = 1 + static_cast<int>(client_.random_() % 10);
    return true;
  }

  bool reads_slowly() const { return client_.options_.read_interval > 0; }

  // Whether the client ends the connection itself.
  bool IsOver() {
    if (control_.stopped && unanswered_.empty()) return true;
    if (!control_.stopped && !control_.no_new_connections) return false;
    if (!last_wait_began_) last_wait_began_ = Loop::Now();
    const bool too_long = Loop::Now() - *last_wait_began_ > kLastWait;
    if (too_long && control_.no_new_connections) ++client_.counts_.not_ended;
    return too_long;
  }

  // Adds a batch to what is to be sent, when it is time.
  void Compose() {
    const PipeliningOptions& options = client_.options_;
    const Micros now = Loop::Now();
    if (reads_slowly() && control_.slow_readers_pause) return;
    if (last_words_ || !unsent_.empty() || now < next_batch_at_) return;
    if (unanswered_.size() + unwritten_.size() >= options.max_unanswered) return;
    next_batch_at_ = now + options.write_interval;
    ++batch_;
    const int count = 1 + static_cast<int>(client_.random_() % static_cast<unsigned>(options.max_statements));
    for (int i = 0; i < count; ++i) {
      Statement statement;
      unsent_ += client_.NextStatement(statement);
      statement.end = static_cast<std::size_t>(sent_) + unsent_.size();
      unwritten_.push_back(std::move(statement));
    }
    if (ending_ == Ending::kNone || batch_ < batches_before_ending_) return;
    last_words_ = true;
    if (ending_ == Ending::kInvalid) {
      pg::AppendMessage(unsent_, '?', "");
    } else {
      unsent_ += Ask("incomplete").substr(0, 20);
    }
  }

  void Send() {
    if (unsent_.empty()) return;
    const std::size_t piece = client_.options_.piece;
    const std::size_t size = piece == 0 ? unsent_.size() : std::min(piece, unsent_.size());
    const Micros before = Loop::Now();
    const ssize_t sent = ::send(socket_.native_handle(), unsent_.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) return;
    unsent_.erase(0, static_cast<std::size_t>(sent));
    sent_ += sent;
    ++writes_;
    while (!unwritten_.empty() && sent_ >= static_cast<std::ptrdiff_t>(unwritten_.front().end)) {
      Statement statement = std::move(unwritten_.front());
      unwritten_.pop_front();
      statement.written_at = before;
      statement.write = writes_;
      unanswered_.push_back(std::move(statement));
    }
  }

  // The time that a statement waits for the responses to earlier ones does not count.
  void NoteAsked(const Statement& statement) {
    if (statement.id.empty()) return;
    const Micros since = std::max(statement.written_at, last_response_at_);
    const Micros patience = client_.options_.timeout_ms * Micros{1'000} + kAnswerSlack;
    // A slow reader gets its responses as late as it reads them. Of a large statement the client cannot know
    // when its last byte arrived: the system's buffers hold it until the router reads.
    const bool knows_arrival = !reads_slowly() && client_.options_.max_written_value < kBufferedValue;
    const Micros delay = knows_arrival ? 0 : kLastWait;
    client_.history_.Add(statement.written_at, checks::Asked{statement.id, client_.router_,
                                                             statement.kind == Kind::kWrite ? "put" : "any",
                                                             statement.id, since + patience + delay});
  }

  void WaitForInput() {
    pollfd events{socket_.native_handle(), POLLIN, 0};
    ::poll(&events, 1, kPollMilliseconds);
  }

  void Receive() {
    const Micros now = Loop::Now();
    if (now < next_read_at_) return;
    next_read_at_ = now + client_.options_.read_interval;
    std::string bytes(client_.options_.read_size, '\0');
    const ssize_t size = ::recv(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (size <= 0) {
      ended_ = true;
      return;
    }
    reader_.Feed(std::string_view(bytes.data(), static_cast<std::size_t>(size)));
    while (const auto message = reader_.Next()) TakeMessage(message->type, std::string(message->body));
  }

  void TakeMessage(char type, const std::string& body) {
    if (type == 'S' || type == 'N') return;  // a client ignores them
    response_.emplace_back(type, body);
    if (type != 'Z') return;
    if (!startup_complete_) {
      startup_complete_ = true;
    } else {
      TakeResponse();
    }
    response_.clear();
  }

  // A complete response, or the error that ended the connection.
  void TakeResponse() {
    if (unanswered_.empty()) {
      if (CodeOf(response_).empty()) ++client_.counts_.mismatch;
      return;
    }
    const Statement statement = std::move(unanswered_.front());
    unanswered_.pop_front();
    last_answered_write_ = statement.write;
    const std::string code = CodeOf(response_);
    Count(control_.responses);
    if (code == "57P03") Count(control_.out_of_service_errors);
    if (code.empty() && !IsResponseTo(statement.kind)) ++client_.counts_.mismatch;
    checks::End end = checks::End::kServed;
    if (code == "53300" || code == "57P03") {
      end = checks::End::kRefused;
      ++client_.counts_.rejected;
    } else if (!code.empty()) {
      end = checks::End::kFailed;
      ++client_.counts_.failed;
    } else {
      ++client_.counts_.served;
    }
    NoteEnded(statement, end);
  }

  bool IsResponseTo(Kind kind) const {
    if (response_.empty()) return false;
    switch (kind) {
      case Kind::kRead:
      case Kind::kWrite:
        return response_.front().first == 'T';
      case Kind::kSet:
        return response_.front().first == 'C' && response_.front().second == std::string("SET\0", 4);
      case Kind::kEmpty:
        return response_.front().first == 'I';
      case Kind::kInvalid:
        return false;
    }
    return false;
  }

  void NoteEnded(const Statement& statement, checks::End end) {
    NoteAsked(statement);
    last_response_at_ = Loop::Now();
    if (!statement.id.empty()) client_.history_.Add(last_response_at_, checks::Ended{statement.id, end});
  }

  // Judges the statements that have no response when the connection has ended or the client gives up.
  void Settle() {
    if (ended_ && !response_.empty() && !CodeOf(response_).empty()) TakeResponse();
    const Micros now = Loop::Now();
    for (const Statement& statement : unanswered_) {
      const bool read = statement.write <= last_answered_write_ ||
                        (!reads_slowly() && now - statement.written_at > kCertainlyRead);
      const bool lost = read || !ended_;
      ++(lost ? client_.counts_.lost : client_.counts_.crossed);
      NoteEnded(statement, lost ? checks::End::kBroken : checks::End::kLeft);
    }
  }

  PipeliningClient& client_;
  PipeliningControl& control_;
  asio::io_context io_;
  tcp::socket socket_;
  pg::MessageReader reader_ = pg::MessageReader(false, pg::kMaxStatementSize);
  Messages response_;
  std::string unsent_;
  std::ptrdiff_t sent_ = 0;
  std::deque<Statement> unwritten_, unanswered_;
  int batch_ = 0, writes_ = 0, last_answered_write_ = 0, batches_before_ending_ = 0;
  Ending ending_ = Ending::kNone;
  Micros next_batch_at_ = 0, next_read_at_ = 0, last_response_at_ = 0;
  std::optional<Micros> last_wait_began_;
  bool startup_complete_ = false, last_words_ = false, ended_ = false;
};

PipeliningClient::PipeliningClient(std::uint16_t port, checks::History& history, std::string router,
                                   std::string name, std::uint64_t seed, const PipeliningOptions& options)
    : port_(port),
      history_(history),
      router_(std::move(router)),
      name_(std::move(name)),
      random_(seed),
      options_(options) {}

void PipeliningClient::Run(PipeliningControl& control) {
  while (!control.stopped && !control.no_new_connections) Connection(*this, control).Run();
}

std::string PipeliningClient::NextStatement(Statement& statement) {
  const int draw = static_cast<int>(random_() % 100);
  if (draw < kSetInHundred) {
    statement.kind = Kind::kSet;
    return Query("SET a = 1");
  }
  if (draw < kSetInHundred + kEmptyInHundred) {
    statement.kind = Kind::kEmpty;
    return Query("");
  }
  statement.id = name_ + "-" + std::to_string(next_id_++);
  const bool write = draw < kSetInHundred + kEmptyInHundred + kWriteInHundred;
  statement.kind = write ? Kind::kWrite : Kind::kRead;
  const std::string common = " /* id=" + statement.id + ",c=" + (write ? "put" : "any") +
                             ",d=" + std::to_string(options_.timeout_ms);
  if (!write) return Query("SELECT blob FROM rows WHERE handle = 'k'" + common + ",cluster=0 */");
  const std::string value = Digits(random_() % (options_.max_written_value + 1));
  return Query("INSERT INTO rows (handle, blob) VALUES ('k', '\\x" + value + "') RETURNING blob" + common +
               ",k=" + statement.id + ",cluster=0 */");
}

}  // namespace tulipyoke::standins
