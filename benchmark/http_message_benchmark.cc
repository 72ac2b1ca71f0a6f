// The cost of reading and writing one message on the path of requests.

#include <benchmark/benchmark.h>

#include <string>

#include "net/http_message.h"

namespace foxtailspread {
namespace {

std::string RequestBytes() {
  return FormatRequest({.method = "POST",
                        .target = "/leny950/2f?page=3",
                        .headers = {{"Host", "hulo84.example"},
                                    {"Accept", "*/*"},
                                    {"Content-Type", "application/json"},
                                    {"Attempt-Name", "9c41d07be2a35f68"},
                                    {"Deadline", "2500"},
                                    {"User-Agent", "field-client/4.1"}},
                        .body = std::string(4000, 'x')});
}

std::string AnswerBytes() {
  return FormatAnswer({.status = 200,
                       .headers = {{"Attempt-Name", "9c41d07be2a35f68"},
                                   {"Signature", "3e1b.07.5a2.600.0.c9f2a4d1"},
                                   {"Keep-Alive", "timeout=10"},
                                   {"Content-Type", "application/json"}},
                       .body = std::string(1500, 'x')},
                      false);
}

void Read(benchmark::State& state, http_parser_type type,
          const std::string& bytes) {
  http_reader reader(type, {});
  for (auto _ : state) {
    reader.Feed(bytes);
    benchmark::DoNotOptimize(reader.Take());
    reader.Take();
  }
}

void ReadRequest(benchmark::State& state) {
  Read(state, HTTP_REQUEST, RequestBytes());
}
BENCHMARK(ReadRequest);

void ReadAnswer(benchmark::State& state) {
  Read(state, HTTP_RESPONSE, AnswerBytes());
}
BENCHMARK(ReadAnswer);

void WriteRequest(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(RequestBytes());
  }
}
BENCHMARK(WriteRequest);

void WriteAnswer(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(AnswerBytes());
  }
}
BENCHMARK(WriteAnswer);

}  // namespace
}  // namespace foxtailspread
