// A server's answer to one query, gathered message by message until it is whole.
#ifndef TULIPYOKE_SRC_PG_ANSWER_HPP_
#define TULIPYOKE_SRC_PG_ANSWER_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "src/dispatch/outcome.hpp"
#include "src/pg/wire.hpp"

namespace tulipyoke::pg {

class AnswerReader {
 public:
  enum class Query { kStatement, kProbe };
  explicit AnswerReader(Query query = Query::kStatement) : query_(query) {}

  // True once the answer is whole and the connection is ready for the next query. Throws ProtocolError.
  bool Take(const Message& message);
  // The row comes by itself, its value passed on: from here on the answer is only checked. Throws as Take
  // does.
  void BeginRow();
  const std::string& shape() const { return outcome_.result.row_description; }
  // What the messages so far amount to, when the connection goes no further; none: no answer.
  std::optional<Outcome> Settled() const;

 private:
  bool ended() const { return complete_ || !error_code_.empty(); }
  void TakeStatus(std::string_view body);

  Query query_;
  Outcome outcome_;
  bool described_ = false, row_ = false, complete_ = false;
  std::string error_code_;
};

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_ANSWER_HPP_
