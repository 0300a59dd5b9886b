#include "spend.h"

#include <mutex>

#include "core/allowance/home.h"
#include "core/schema/generated/peer_generated.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

constexpr auto home_timeout = common::milliseconds(1000);

schema::bytes encode_request(host_state& host, const catalog::team& team, std::uint64_t generation) {
    schema::token_request_t request;
    request.team = team.name;
    request.host = host.self.name;
    request.incarnation = host.self.incarnation;
    request.generation = generation;
    request.tokens = 1;
    schema::peer_message_t message;
    message.body.Set(std::move(request));
    return schema::encode<schema::peer_message>(message);
}

spend_result ask_home(host_state& host, const catalog::team& team, const membership::member& home,
                      std::uint64_t generation, common::time_point deadline) {
    const auto until = std::min(deadline, common::monotonic::now() + home_timeout);
    const auto answer =
        host.peers->call_and_wait(home.peer_address, encode_request(host, team, generation), until);
    if (!answer) {
        return spend_result::home_unreachable;
    }
    const auto decoded = schema::decode<schema::peer_message>(*answer, home.peer_address);
    if (!decoded || decoded->body.Astoken_answer() == nullptr || decoded->body.Astoken_answer()->wrong_home) {
        return spend_result::home_unreachable;
    }
    return decoded->body.Astoken_answer()->granted >= 1 ? spend_result::granted : spend_result::over_rate;
}

void count_spend(host_state& host, const catalog::team& team, spend_result result) {
    const std::lock_guard guard(host.allowances.mutex);
    auto& counted = host.allowances.teams[team.name];
    if (result == spend_result::granted) {
        ++counted.admitted;
        return;
    }
    ++counted.refused;
}

spend_result spend_somewhere(host_state& host, const catalog::team& team, common::time_point deadline) {
    const auto members = current_generation(host);
    const auto* home = allowance::home_of(team.name, *members);
    if (home == nullptr) {
        return spend_result::home_unreachable;
    }
    if (home->name != host.self.name) {
        return ask_home(host, team, *home, members->number, deadline);
    }
    const double granted = grant_tokens(host, team, 1, common::monotonic::now());
    return granted >= 1 ? spend_result::granted : spend_result::over_rate;
}

} // namespace

spend_result spend_token(host_state& host, const catalog::team& team, common::time_point deadline) {
    const auto result = spend_somewhere(host, team, deadline);
    count_spend(host, team, result);
    return result;
}

double grant_tokens(host_state& host, const catalog::team& team, double tokens, common::time_point now) {
    const std::lock_guard guard(host.allowances.mutex);
    const auto [it, fresh] = host.allowances.teams.try_emplace(team.name);
    auto& bucket = it->second.bucket;
    if (bucket.refilled_at == common::time_point()) {
        bucket = allowance::make_empty_bucket(team.rate, team.burst, now);
    }
    allowance::set_limits(bucket, team.rate, team.burst, now);
    return allowance::take(bucket, tokens, now) ? tokens : 0;
}

} // namespace lycheegap::host
