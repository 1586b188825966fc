// Sends requests with at most one outstanding request per connection.
#include "bench/load/LoadClient.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace magnoliamill::bench {

namespace beast = boost::beast;
namespace http = beast::http;
using Clock = std::chrono::steady_clock;

namespace {

/// Added to the deadline before a request counts as unanswered.
constexpr auto AnswerGrace = std::chrono::milliseconds(2000);

} // namespace

struct LoadClient::Connection {
  explicit Connection(boost::asio::io_context &context) : Stream(context) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  std::optional<http::response_parser<http::string_body>> Parser;
  std::size_t Endpoint = 0;
  std::size_t Number = 0;
};

LoadClient::LoadClient(boost::asio::io_context &context, ClientConfig config,
                       std::vector<PlannedRequest> plan,
                       std::vector<std::string> accounts, LoadReport &report)
    : Context(context), Config(std::move(config)), Plan(std::move(plan)),
      ClientAccounts(std::move(accounts)), Report(report), Timer(context),
      Idle(Config.Endpoints.size()) {}

LoadClient::~LoadClient() = default;

void LoadClient::start() {
  StartedAt = Clock::now();
  sendDue();
}

void LoadClient::sendDue() {
  while (Next < Plan.size() && StartedAt + Plan[Next].Due <= Clock::now())
    send(Next++);
  if (Next == Plan.size())
    return;
  Timer.expires_at(StartedAt + Plan[Next].Due);
  Timer.async_wait([this](const beast::error_code &) { sendDue(); });
}

void LoadClient::prepareRequest(Connection &connection) const {
  const PlannedRequest &planned = Plan[connection.Number];
  auto &request = connection.Request;
  request = {planned.IsPost ? http::verb::post : http::verb::get, Config.Path,
             11};
  request.set(http::field::host, "mill-load");
  request.set("Mill-Key", "key-" + std::to_string(planned.Key));
  request.set("Mill-Client-Account", ClientAccounts[planned.ClientAccount]);
  if (Config.DeadlineMs > 0)
    request.set("Mill-Deadline-Ms", std::to_string(Config.DeadlineMs));
  if (planned.IsPost)
    request.set("Idempotency-Key",
                Config.RunName + "-" + std::to_string(connection.Number));
  request.prepare_payload();
}

void LoadClient::send(std::size_t number) {
  const std::size_t endpoint = number % Config.Endpoints.size();
  auto &idle = Idle[endpoint];
  const bool IsNew = idle.empty();
  auto connection =
      IsNew ? std::make_shared<Connection>(Context) : std::move(idle.back());
  if (!IsNew)
    idle.pop_back();
  connection->Endpoint = endpoint;
  connection->Number = number;
  prepareRequest(*connection);
  connection->Stream.expires_after(
      std::chrono::milliseconds(Config.DeadlineMs) + AnswerGrace);
  if (!IsNew)
    return write(connection);
  connection->Stream.async_connect(
      Config.Endpoints[endpoint],
      [this, connection](const beast::error_code &ec) {
        if (ec)
          return recordFailure(connection, "connect");
        connection->Stream.socket().set_option(
            boost::asio::ip::tcp::no_delay(true));
        write(connection);
      });
}

void LoadClient::write(const ConnectionPtr &connection) {
  http::async_write(
      connection->Stream, connection->Request,
      [this, connection](const beast::error_code &ec, std::size_t) {
        if (ec)
          return recordFailure(connection, "write");
        read(connection);
      });
}

void LoadClient::read(const ConnectionPtr &connection) {
  connection->Parser.emplace();
  http::async_read(
      connection->Stream, connection->Buffer, *connection->Parser,
      [this, connection](const beast::error_code &ec, std::size_t) {
        if (ec)
          return recordFailure(connection, "read");
        handleAnswer(connection);
      });
}

void LoadClient::handleAnswer(const ConnectionPtr &connection) {
  const auto &answer = connection->Parser->get();
  const PlannedRequest &planned = Plan[connection->Number];
  const std::string_view outcome = answer["Mill-Outcome"];
  // A target that is called directly sends no Mill-Outcome header.
  RequestOutcome result = RequestOutcome::Unknown;
  if (outcome == "answered" || (outcome.empty() && answer.result_int() < 400))
    result = RequestOutcome::Answered;
  else if (outcome == "not-run")
    result = RequestOutcome::NotRun;
  const std::string_view code = answer["Mill-Code"];
  Report.add(planned.ClientAccount, result, code,
             Clock::now() - (StartedAt + planned.Due));
  if (answer.keep_alive())
    Idle[connection->Endpoint].push_back(connection);
}

void LoadClient::recordFailure(const ConnectionPtr &connection,
                               const char *reason) {
  const PlannedRequest &planned = Plan[connection->Number];
  Report.add(planned.ClientAccount, RequestOutcome::Unknown, reason,
             Clock::now() - (StartedAt + planned.Due));
}

} // namespace magnoliamill::bench
