#include "src/dispatch/trace.hpp"

#include <cstdint>
#include <string_view>

#include "src/dispatch/outcome.hpp"

namespace tulipyoke::trace {
namespace {

// Builds a line of `name=value` pairs.
class Line {
 public:
  explicit Line(std::string_view step) : text_(step) {}

  Line& Field(std::string_view name, std::string_view value) {
    text_ += ' ';
    text_ += name;
    text_ += '=';
    text_ += value;
    return *this;
  }
  Line& Number(std::string_view name, std::int64_t value) { return Field(name, std::to_string(value)); }
  Line& Request(RequestId request) { return Field("request", std::to_string(request)); }
  std::string text() const { return text_; }

 private:
  std::string text_;
};

std::string_view NameOf(Result result) {
  switch (result) {
    case Result::kServed:
      return "served";
    case Result::kRejected:
      return "refused";
    case Result::kFailed:
      break;
  }
  return "failed";
}

std::string Format(const RequestReceived& event) {
  Line line("taken");
  line.Field("id", event.client_request_id)
      .Request(event.request)
      .Field("class", event.class_name)
      .Number("group", event.group)
      .Number("wait", event.timeout);
  if (event.waited > 0) line.Number("waited", event.waited);
  if (event.preceding_write) line.Number("behind", static_cast<std::int64_t>(*event.preceding_write));
  return line.text();
}

std::string Format(const RequestFinished& event) {
  return Line(NameOf(event.result)).Request(event.request).Number("retry_after", event.retry_after).text();
}

std::string Format(const AttemptStarted& event) {
  return Line("sent")
      .Request(event.request)
      .Number("attempt", event.attempt)
      .Field("server", event.server)
      .Number("within", event.timeout)
      .text();
}

std::string Format(const AttemptFinished& event) {
  return Line("ended")
      .Request(event.request)
      .Number("attempt", event.attempt)
      .Field("server", event.server)
      .Field("status", StatusName(event.status))
      .Number("role", static_cast<int>(event.role))
      .Number("after", event.elapsed)
      .text();
}

std::string Format(const ProbeFinished& event) {
  return Line("probed")
      .Field("server", event.server)
      .Field("status", StatusName(event.status))
      .Number("after", event.elapsed)
      .text();
}

std::string Format(const EndpointsUpdated& event) {
  std::string text = Line("heard").Number("complete", event.complete ? 1 : 0).text();
  for (const EndpointsUpdated::Server& server : event.servers) {
    text += " " + Line(server.id).Number("state", static_cast<int>(server.state)).text();
  }
  return text;
}

}  // namespace

std::string ToText(const Event& event) {
  return std::visit([](const auto& step) { return Format(step); }, event);
}

}  // namespace tulipyoke::trace
