// Tests argument parsing, and commands against an HTTP server that can close a
// connection without an answer.
#include "Change.h"
#include "Commands.h"
#include "ExitCode.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <functional>
#include <mutex>
#include <sstream>
#include <thread>

using namespace magnoliamill;
using namespace magnoliamill::millctl;
using base::ResultCode;

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Request = http::request<http::string_body>;

/// Serves one request per connection. The hook returns the answer; an empty
/// body closes the connection without an answer, as if the answer were lost.
class TestServer {
public:
  struct Answer {
    unsigned Status = 200;
    std::string Body;
  };
  using Hook = std::function<Answer(const Request &)>;

  explicit TestServer(Hook hook) : OnRequest(std::move(hook)) {
    Thread = std::thread([this] { serve(); });
  }
  TestServer(const TestServer &) = delete;
  TestServer &operator=(const TestServer &) = delete;
  ~TestServer() {
    Stopping = true;
    boost::system::error_code ec;
    tcp::socket wake(Context);
    wake.connect(Acceptor.local_endpoint(), ec);
    Thread.join();
  }

  std::string endpoint() const {
    return fmt::format("127.0.0.1:{}", Acceptor.local_endpoint().port());
  }
  /// The requests received so far, in order.
  std::vector<Request> seen() {
    std::lock_guard lock(Mutex);
    return Seen;
  }

private:
  void serve() {
    for (;;) {
      boost::system::error_code ec;
      tcp::socket socket(Context);
      Acceptor.accept(socket, ec);
      if (Stopping)
        return;
      boost::beast::flat_buffer buffer;
      Request request;
      http::read(socket, buffer, request, ec);
      if (ec)
        continue;
      auto answer = OnRequest(request);
      {
        std::lock_guard lock(Mutex);
        Seen.push_back(request);
      }
      if (answer.Body.empty())
        continue;
      http::response<http::string_body> response;
      response.result(answer.Status);
      response.body() = answer.Body;
      response.prepare_payload();
      http::write(socket, response, ec);
    }
  }

  Hook OnRequest;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor{
      Context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<Request> Seen;
  std::thread Thread;
};

struct Outcome {
  int Code = 0;
  std::string Out;
  std::string Err;
};

Outcome run(std::vector<std::string> words, const std::string &input = "") {
  auto options = readOptions(words, "from-environment");
  if (!options)
    return {ExitUsage, "", options.error().Message};
  ApiConfig config;
  config.Endpoints = options.value().Endpoints;
  config.Token = options.value().Token;
  config.Timeout = options.value().Timeout;
  config.Pause = std::chrono::milliseconds(1);
  ApiClient api(config, exchange);
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  auto code = runCommand({api, options.value(), in, out}, err);
  return {code, out.str(), err.str()};
}

constexpr const char *Path = "/teams/brazos/services/art-vault";
constexpr const char *Done =
    R"({"path":"/teams/brazos/services/art-vault","version":9,"index":9,)"
    R"("change_id":"x"})";
constexpr const char *Stored =
    R"({"path":"p","value":{},"version":7,"index":41})";

std::vector<std::string> changeIds(const std::vector<Request> &seen) {
  std::vector<std::string> ids;
  for (const auto &request : seen)
    if (request.method() != http::verb::get)
      ids.emplace_back(request["Mill-Change-Id"]);
  return ids;
}

} // namespace

TEST_CASE("The command line", "[millctl]") {
  SECTION("accepts flags before and after the positional arguments") {
    auto options = readOptions({"--endpoint", "a:1,b:2", "get", "/x",
                                "--output=json", "--timeout-ms=5", "-"},
                               "t")
                       .value();
    REQUIRE(options.Endpoints == std::vector<std::string>{"a:1", "b:2"});
    REQUIRE(options.Words == std::vector<std::string>{"get", "/x", "-"});
    REQUIRE(options.Json);
    REQUIRE(options.Timeout == std::chrono::milliseconds(5));
    REQUIRE(options.Token == "t");
    SECTION("and resets them for the next run") {
      REQUIRE_FALSE(readOptions({}, "").value().Json);
    }
  }
  SECTION("is refused with exit code 2 when wrong") {
    for (std::vector<std::string> words :
         {std::vector<std::string>{},
          {"gte", "/x"},
          {"get"},
          {"get", "a", "b"},
          {"get", "/x", "--loud"},
          {"get", "/x", "--output=xml"},
          {"get", "/x", "--timeout_ms=soon"},
          {"get", "/x", "--token"},
          {"set", std::string(Path) + "={}"},
          {"set", std::string(Path), "--expect=none"},
          {"status", "last"},
          {"evacuate", "brazos", "art-vault"},
          {"members", "promote", "x"}}) {
      INFO(fmt::format("{}", fmt::join(words, " ")));
      REQUIRE(run(words).Code == ExitUsage);
    }
  }
  SECTION("shows commands and exit codes on --help") {
    auto help = run({"--help"});
    REQUIRE(help.Code == ExitOk);
    for (const auto &info : describeCommands())
      REQUIRE(help.Out.find(info.Usage) != std::string::npos);
    REQUIRE(help.Out.find("exit codes") != std::string::npos);
  }
}

TEST_CASE("Exit codes follow the thousands of result codes", "[millctl]") {
  REQUIRE(exitCodeOf(ResultCode::Ok) == 0);
  REQUIRE(exitCodeOf(ResultCode::VersionConflict) == 40);
  REQUIRE(exitCodeOf(ResultCode::Internal) == 90);
}

TEST_CASE("check works without a server", "[millctl]") {
  REQUIRE(run({"check", "-"}, "{}").Code == 10);
  auto good = run({"check", "-", Path, "--output=json"},
                  R"({"keyed":false,"data_centres":["d1"]})");
  REQUIRE(good.Code == ExitOk);
  REQUIRE(good.Out == "{\"ok\":true,\"faults\":[]}\n");
  auto bad = run({"check", "-", Path}, R"({"keyed":1})");
  REQUIRE(bad.Code == 10);
  REQUIRE(bad.Out.find("/data_centres") != std::string::npos);
  REQUIRE(run({"check", "/nonexistent/file"}).Code == 10);
}

TEST_CASE("A change whose answer is lost", "[millctl]") {
  // How many changes, from the first on, get no answer.
  int lose = 1;
  TestServer server([&lose](const Request &request) -> TestServer::Answer {
    if (request.method() == http::verb::get)
      return {200, Stored};
    if (lose-- > 0)
      return {};
    return {200, Done};
  });
  SECTION("is sent again under the same change id") {
    auto set = run({"set", std::string(Path) + "={}", "--expect=current",
                    "--endpoint", server.endpoint()});
    REQUIRE(set.Code == ExitOk);
    auto seen = server.seen();
    REQUIRE(seen.size() == 3);
    auto ids = changeIds(seen);
    REQUIRE(ids.at(0) == ids.at(1));
    REQUIRE(ids.at(0).starts_with("41~"));
    REQUIRE(seen.back()["Authorization"] == "Bearer from-environment");
    auto body = boost::json::parse(seen.back().body());
    REQUIRE(body.at("expected_version") == 7);
    SECTION("and the next change has another one") {
      run({"delete", Path, "--expect=9", "--endpoint", server.endpoint()});
      REQUIRE(changeIds(server.seen()).back() != ids.at(0));
    }
  }
  SECTION("is sent to another endpoint under the same change id") {
    TestServer other([](const Request &) -> TestServer::Answer {
      return {200, Done};
    });
    auto set = run({"set", Path, "-", "--expect=7", "--endpoint",
                    server.endpoint() + "," + other.endpoint()},
                   "{}");
    REQUIRE(set.Code == ExitOk);
    REQUIRE(changeIds(server.seen()) == changeIds(other.seen()));
  }
  SECTION("stays unknown when another endpoint denies access") {
    lose = 100;
    TestServer other([](const Request &) -> TestServer::Answer {
      return {403, R"({"code":4001,"message":"the token is unknown"})"};
    });
    auto set = run({"delete", Path, "--expect=7", "--endpoint",
                    server.endpoint() + "," + other.endpoint()});
    REQUIRE(set.Err.find("ChangeOutcomeUnknown") != std::string::npos);
  }
  SECTION("is reported as unknown, with the way to repeat it") {
    lose = 100;
    auto set =
        run({"delete", Path, "--expect=7", "--endpoint", server.endpoint()});
    REQUIRE(set.Code == 40);
    auto ids = changeIds(server.seen());
    REQUIRE(ids.size() == 3);
    REQUIRE(set.Err.find("--change-id " + ids[0] + " --expect 7") !=
            std::string::npos);
    SECTION("and --change-id is sent unchanged") {
      run({"delete", Path, "--expect=7", "--change-id", ids[0], "--endpoint",
           server.endpoint()});
      REQUIRE(changeIds(server.seen()).back() == ids[0]);
    }
  }
}

TEST_CASE("A refused change is not repeated", "[millctl]") {
  TestServer server([](const Request &request) -> TestServer::Answer {
    if (request.method() == http::verb::get)
      return {200, Stored};
    return {409, R"({"code":4005,"name":"VersionConflict",)"
                 R"("message":"the version is 8","current_version":8})"};
  });
  auto set = run({"set", std::string(Path) + "={}", "--expect=7", "--endpoint",
                  server.endpoint()});
  REQUIRE(set.Code == 40);
  REQUIRE(set.Err.find("VersionConflict (4005)") != std::string::npos);
  REQUIRE(set.Err.find("next: ") != std::string::npos);
  REQUIRE(changeIds(server.seen()).size() == 1);
}

TEST_CASE("Reads go to the next endpoint when one does not answer",
          "[millctl]") {
  TestServer lost([](const Request &) { return TestServer::Answer{}; });
  TestServer server([](const Request &) -> TestServer::Answer {
    return {200, R"({"entries":[{"path":"/a","version":3},)"
                 R"({"path":"/b","version":14}]})"};
  });
  auto list = run(
      {"list", "/", "--endpoint", lost.endpoint() + "," + server.endpoint()});
  REQUIRE(list.Code == ExitOk);
  REQUIRE(list.Out == "path  version\n/a    3\n/b    14\n");
}

TEST_CASE("evacuate writes a rule for each target", "[millctl]") {
  TestServer server([](const Request &request) -> TestServer::Answer {
    if (request.target().starts_with("/v1/targets"))
      return {200, R"({"targets":[{"name":"p1"},{"name":"p2"}]})"};
    if (request.method() == http::verb::get)
      return {404, R"({"code":4002,"message":"nothing is set","index":5})"};
    return {200, Done};
  });
  auto done = run({"evacuate", "brazos", "art-vault", "--by",
                   "2026-12-31T18:00:00Z", "--endpoint", server.endpoint()});
  REQUIRE(done.Code == ExitOk);
  std::vector<std::string> targets;
  for (const auto &request : server.seen())
    if (request.method() == http::verb::put)
      targets.emplace_back(request.target());
  REQUIRE(targets == std::vector<std::string>{
                         "/v1/settings/teams/brazos/targets/art-vault/p1",
                         "/v1/settings/teams/brazos/targets/art-vault/p2"});
}
