package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"amberway/config"
	"amberway/fleet"
)

func (s *Server) getConfig(*http.Request) (any, error) {
	c := s.Follower.Current()
	return ActiveConfig{Generation: c.Head.Generation, Document: c.Document}, nil
}

func (s *Server) parseDocument(r *http.Request) (*config.Document, error) {
	b, err := readBody(r)
	if err != nil {
		return nil, err
	}
	d, err := config.Parse(b)
	var invalid config.ValidationError
	if err != nil && !errors.As(err, &invalid) {
		return nil, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return d, err
}

// previewConfig returns the effects that applying a document would have in this data
// centre.
func (s *Server) previewConfig(r *http.Request) (any, error) {
	d, err := s.parseDocument(r)
	if err != nil {
		return nil, err
	}
	c := s.View.Current()
	return fleet.PreviewOf(s.planInput(c, d, s.Follower.Current().Head.Generation+1)), nil
}

// planInput returns the input of a plan for this data centre.
func (s *Server) planInput(c *fleet.Snapshot, d *config.Document, gen int64) fleet.Input {
	return fleet.Input{
		Now: s.now(), Document: d, Generation: gen, DataCentre: s.DataCentre, Record: c.Record, List: c.List,
	}
}

func (s *Server) jobs(*http.Request) (any, error) {
	r := s.View.Current().Record
	l := []Job{}
	for _, v := range s.Follower.Current().Document.Services {
		for _, j := range v.Jobs {
			n := fleet.JobName(v.Name, j.Name)
			l = append(l, Job{Service: v.Name, Job: j, Hosts: r.Placement[n], Unplaced: r.Unplaced[n]})
		}
	}
	return l, nil
}

func (s *Server) putConfig(r *http.Request) (any, error) {
	base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: base has to be the generation that the change was made from", errBadRequest)
	}
	d, err := s.parseDocument(r)
	if err != nil {
		return nil, err
	}
	return s.publish(r.Context(), d, base)
}

func (s *Server) publish(ctx context.Context, d *config.Document, base int64) (any, error) {
	h, err := s.Publisher.Publish(ctx, d, base)
	if err != nil {
		return nil, err
	}
	s.log.Infof("generation %d published", h.Generation)
	return ApplyResult{Generation: h.Generation}, nil
}
