package gateway

import (
	"context"

	"go.uber.org/zap"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
)

// maxReportBytes bounds the response to a call of the gateway's own.
const maxReportBytes = 1 << 20

// ask makes a call of the gateway's own, which may be made twice, and reads the
// response. The call has no ID that the response could state. On a connection that
// has carried other calls, the response therefore counts only if isAnswer recognizes
// it; if it does not, or that connection fails, the call is made once more on a new
// one. Only a response that counts is taken for a notice of the upstream.
func (g *Gateway) ask(ctx context.Context, c *relay.Call, isAnswer func(relay.ResponseHead, []byte) bool) (relay.ResponseHead, []byte, error) {
	resp, body, err := g.exchangeWhole(ctx, c)
	switch {
	case err == nil && !resp.Reused:
		return resp.head, body, nil
	case err == nil && isAnswer(resp.head, body):
		g.recordNotices(c.Upstream, resp.head, resp.began)
		return resp.head, body, nil
	case err != nil && !mayBeConnection(err):
		return relay.ResponseHead{}, nil, err
	}
	g.Log.Info("question asked again", zap.String("upstream", c.Upstream.Instance), zap.String("uri", c.URI), zap.Error(err))
	again := *c
	again.Fresh = true
	resp, body, err = g.exchangeWhole(ctx, &again)
	if err != nil {
		return relay.ResponseHead{}, nil, err
	}
	return resp.head, body, nil
}

// mayBeConnection reports whether an error of a call may be due to what its
// connection has carried before, or to the end of that connection.
func mayBeConnection(err error) bool {
	switch verdict.Of(err).Reason {
	case verdict.UpstreamProtocol:
		return true
	case verdict.UpstreamLost:
		return http1.OnReused(err)
	}
	return false
}

// exchangeWhole is like exchange and reads the whole response.
func (g *Gateway) exchangeWhole(ctx context.Context, c *relay.Call) (*response, []byte, error) {
	resp, err := g.exchange(ctx, c)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Close()
	body, err := resp.ReadAll(ctx, maxReportBytes)
	if err != nil {
		return nil, nil, err
	}
	return resp, body, nil
}
