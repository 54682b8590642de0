package platformsim

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/httpplatform"
	"geraniumcroft/internal/sleep"
)

func (s *Server) faultsHTTP(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !decode(w, r, &order) {
		return
	}
	conn, _ := r.Context().Value(connKey{}).(*silenceableConn)
	if err := s.order(order, conn); err != nil {
		answer(w, http.StatusInternalServerError, httpplatform.Problem{Code: "listen", Detail: err.Error()})
		return
	}
	if order.Outage != OutageNone {
		w.Header().Set("Connection", "close")
	}
	answer(w, http.StatusOK, s.Faults.Current())
}

func (s *Server) commitHTTP(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !decode(w, r, &txn) {
		return
	}
	action := s.Faults.next(OpCommit)
	switch action.Kind {
	case ActUnavailable:
		outage(w)
	case ActHang:
		hang(r)
	case ActLoseAnswer:
		_ = s.apply(txn) // the response is lost, whatever it is
		panic(http.ErrAbortHandler)
	case ActDelay:
		time.AfterFunc(action.Wait, func() { _ = s.apply(txn) })
		hang(r)
	default:
		err := s.apply(txn)
		sleep.For(r.Context(), action.Wait)
		answerCommit(w, err)
	}
}

func answerCommit(w http.ResponseWriter, err error) {
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		answer(w, http.StatusConflict, httpplatform.RowsResponse{Rows: refused.Rows})
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *Server) getHTTP(w http.ResponseWriter, r *http.Request) {
	var request httpplatform.GetRequest
	if decode(w, r, &request) && s.admitRead(w, r, OpRead) {
		answer(w, http.StatusOK, httpplatform.RowsResponse{Rows: s.get(request.Keys)})
	}
}

func (s *Server) scanHTTP(w http.ResponseWriter, r *http.Request) {
	var request httpplatform.ScanRequest
	if decode(w, r, &request) && s.admitRead(w, r, OpRead) {
		rows := s.scan(request.From, request.To, request.Limit)
		answer(w, http.StatusOK, httpplatform.RowsResponse{Rows: rows})
	}
}

func (s *Server) putHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		badRequest(w, err)
		return
	}
	if s.admitRead(w, r, OpObject) {
		s.putObject(r.PathValue("name"), body)
		answer(w, http.StatusOK, struct{}{})
	}
}

func (s *Server) fetchHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admitRead(w, r, OpObject) {
		return
	}
	body, ok := s.object(r.PathValue("name"))
	if !ok {
		answer(w, http.StatusNotFound, httpplatform.Problem{Code: "not-found"})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // the client notices a failed write
}

func (s *Server) vmsHTTP(w http.ResponseWriter, r *http.Request) {
	if s.admitRead(w, r, OpVMs) {
		answer(w, http.StatusOK, httpplatform.VMsResponse{VMs: s.listVMs()})
	}
}

// admitRead injects the current fault into an operation other than a commit. It
// reports whether the caller is to carry out the operation and respond.
func (s *Server) admitRead(w http.ResponseWriter, r *http.Request, op Operation) bool {
	action := s.Faults.next(op)
	switch action.Kind {
	case ActUnavailable, ActLoseAnswer:
		outage(w)
		return false
	case ActHang, ActDelay:
		hang(r)
		return false
	default:
		return sleep.For(r.Context(), action.Wait)
	}
}
