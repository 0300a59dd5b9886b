#include "compression.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

#include "last_reason.h"

namespace lycheegap::common {

namespace {

constexpr const char* library = "zstd";
constexpr int level = ZSTD_CLEVEL_DEFAULT;
// Limits of the library's windowLog that every decoder accepts.
constexpr int min_window_log = 10;
constexpr int max_window_log = 27;

struct context_deleter {
    void operator()(ZSTD_CCtx* it) const {
        ZSTD_freeCCtx(it);
    }

    void operator()(ZSTD_DCtx* it) const {
        ZSTD_freeDCtx(it);
    }
};

/// Window that spans the base and the value, so that all of the base can be referred to.
int window_log(std::size_t bytes) {
    return std::clamp(static_cast<int>(std::bit_width(bytes)), min_window_log, max_window_log);
}

} // namespace

std::optional<std::string> compress(std::string_view value, std::string_view base) {
    const std::unique_ptr<ZSTD_CCtx, context_deleter> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    // The checksum detects a base other than the one that the value was compressed with.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log(base.size() + value.size()));
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string compressed(ZSTD_compressBound(value.size()), '\0');
    const auto size =
        ZSTD_compress2(context.get(), compressed.data(), compressed.size(), value.data(), value.size());
    if (ZSTD_isError(size) != 0) {
        return fail(step::encode, library, ZSTD_getErrorName(size));
    }
    compressed.resize(size);
    compressed.shrink_to_fit();
    return compressed;
}

std::optional<std::string> expand(std::string_view compressed, std::string_view base, std::size_t max_bytes) {
    // An unknown size and an error are larger than any limit.
    const auto announced = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (announced > max_bytes) {
        return fail(step::decode, library, "not a compressed value, or one that is too large");
    }
    const std::unique_ptr<ZSTD_DCtx, context_deleter> context(ZSTD_createDCtx());
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string value(static_cast<std::size_t>(announced), '\0');
    const auto size =
        ZSTD_decompressDCtx(context.get(), value.data(), value.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(size) != 0) {
        return fail(step::decode, library, ZSTD_getErrorName(size));
    }
    value.resize(size);
    return value;
}

} // namespace lycheegap::common
